//! Loopback listener for the local proxy.

use std::time::Duration;

use futures::{SinkExt, StreamExt};
use millford_api::local::LocalFrame;
use millford_settings::PartLog;
use millford_transport::{FrameLimits, FramedReader, FramedWriter, TransportError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::daemon::event_queues::EventQueues;
use crate::daemon::proxy_sender::{ProxyFrames, ProxySender};
use crate::input::AgentInput;

const LOG: PartLog = PartLog::new("LOCAL");

/// Delay after a failed accept, for example because no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves one proxy at a time: a new connection closes the previous one. Sends each connection's
/// sender to `proxy_senders`, and `None` when the connection has ended by itself.
pub async fn serve(
    listener: TcpListener,
    queues: EventQueues,
    proxy_senders: mpsc::Sender<Option<ProxySender>>,
    limits: FrameLimits,
) {
    let mut current: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                LOG.warn(format_args!("Failed to accept a connection: {error}."));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Some(previous) = current.take() {
            previous.abort();
            // Waits for the task to end, so that no frame of the previous connection follows.
            let _ = previous.await;
        }
        let connection = run(
            stream,
            queues.clone(),
            proxy_senders.clone(),
            limits.clone(),
        );
        current = Some(tokio::spawn(connection));
    }
}

async fn run(
    stream: TcpStream,
    queues: EventQueues,
    proxy_senders: mpsc::Sender<Option<ProxySender>>,
    limits: FrameLimits,
) {
    let accepted = millford_transport::accept::<LocalFrame>(stream, &limits);
    let Ok((reader, writer)) = accepted else {
        return;
    };
    let (sender, frames) = ProxySender::new();
    if proxy_senders.send(Some(sender)).await.is_err() {
        return;
    }
    queues.send_state(AgentInput::ProxyUp).await;
    LOG.info("The proxy connected.");
    let ended = tokio::select! {
        ended = read(reader, &queues) => ended,
        ended = write(writer, frames) => ended,
    };
    match ended {
        Ok(()) => LOG.info("The proxy disconnected."),
        Err(error) => LOG.warn(format_args!("The proxy's connection failed: {error}.")),
    }
    let _ = proxy_senders.send(None).await;
    queues.send_state(AgentInput::ProxyDown).await;
}

async fn read(
    mut reader: FramedReader<LocalFrame>,
    queues: &EventQueues,
) -> Result<(), TransportError> {
    while let Some(frame) = reader.next().await {
        if !queues.send_proxy_frame(frame?).await {
            break;
        }
    }
    Ok(())
}

async fn write(
    mut writer: FramedWriter<LocalFrame>,
    mut frames: ProxyFrames,
) -> Result<(), TransportError> {
    while let Some(frame) = frames.next().await {
        writer.feed(frame).await?;
        while let Some(frame) = frames.try_next() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
