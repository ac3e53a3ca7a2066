//! Loopback listener for the proxy beside the agent.

use futures::{SinkExt, StreamExt};
use millford_api::local::LocalFrame;
use millford_settings::PartLog;
use millford_transport::{FramedReader, FramedWriter, TransportError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::daemon::event_queues::EventQueues;
use crate::daemon::proxy_sender::{ProxyFrames, ProxySender};
use crate::input::AgentInput;

const LOG: PartLog = PartLog::new("LOCAL");

/// Serves one proxy at a time: a newer connection ends the former one.
pub async fn serve(
    listener: TcpListener,
    queues: EventQueues,
    outlets: mpsc::Sender<Option<ProxySender>>,
) {
    let mut present: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                LOG.warn(format_args!("A connection could not be accepted: {error}."));
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Some(former) = present.take() {
            former.abort();
            // Awaited, so that no frame of the former connection follows.
            let _ = former.await;
        }
        let task = converse(stream, queues.clone(), outlets.clone());
        present = Some(tokio::spawn(task));
    }
}

/// Pause after a failed accept, for instance for want of file descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

async fn converse(
    stream: TcpStream,
    queues: EventQueues,
    outlets: mpsc::Sender<Option<ProxySender>>,
) {
    let Ok((reader, writer)) = millford_transport::accept::<LocalFrame>(stream) else {
        return;
    };
    let (outlet, frames) = ProxySender::new();
    if outlets.send(Some(outlet)).await.is_err() {
        return;
    }
    queues.state(AgentInput::ProxyUp).await;
    LOG.info("The proxy has connected.");
    let ended = tokio::select! {
        ended = read(reader, &queues) => ended,
        ended = write(writer, frames) => ended,
    };
    match ended {
        Ok(()) => LOG.info("The proxy has left."),
        Err(error) => LOG.warn(format_args!("The proxy's connection failed: {error}.")),
    }
    let _ = outlets.send(None).await;
    queues.state(AgentInput::ProxyDown).await;
}

async fn read(
    mut reader: FramedReader<LocalFrame>,
    queues: &EventQueues,
) -> Result<(), TransportError> {
    while let Some(frame) = reader.next().await {
        if !queues.proxy_frame(frame?).await {
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
        while let Some(frame) = frames.ready() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
