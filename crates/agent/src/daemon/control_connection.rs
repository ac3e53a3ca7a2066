//! One connection to a control node.

use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use millford_api::internal::Frame;
use millford_transport::{FramedReader, FramedWriter, TransportError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::daemon::event_queues::EventQueues;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::input::{AgentInput, ControlLinkId};
use crate::timing::CONNECT_TIMEOUT;

/// Frames that fit into the queue to a node. The inactivity timeout ends the connection to a node
/// that does not read before the queue is full.
const SEND_QUEUE_LENGTH: usize = 4096;

/// Period of the check whether part of a frame has arrived.
const PROGRESS_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// A connection that is being made, or is up. Dropping it closes it.
#[derive(Debug)]
pub struct ControlConnection {
    link: ControlLinkId,
    frames: mpsc::Sender<Frame>,
    task: JoinHandle<()>,
}

impl ControlConnection {
    /// Starts to connect to `address`; the outcome and all frames received go to `queues`.
    #[must_use]
    pub fn open(
        link: ControlLinkId,
        address: String,
        queues: EventQueues,
        meter: Arc<TrafficMeter>,
    ) -> Self {
        let (sender, frames) = mpsc::channel(SEND_QUEUE_LENGTH);
        let task = tokio::spawn(async move {
            // Whatever ended the connection, the agent goes on to the next endpoint.
            let _ = run(link, &address, &queues, frames, &meter).await;
            queues.send_state(AgentInput::LinkDown { link }).await;
        });
        Self {
            link,
            frames: sender,
            task,
        }
    }

    /// Number of the connection.
    #[must_use]
    pub fn link(&self) -> ControlLinkId {
        self.link
    }

    /// Queues a frame; one that finds the queue full is lost, as it would be with the connection.
    pub fn send(&self, frame: Frame) {
        let _ = self.frames.try_send(frame);
    }
}

impl Drop for ControlConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    link: ControlLinkId,
    address: &str,
    queues: &EventQueues,
    frames: mpsc::Receiver<Frame>,
    meter: &TrafficMeter,
) -> Result<(), TransportError> {
    let address = address
        .parse()
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let (reader, writer) = millford_transport::connect(address, CONNECT_TIMEOUT).await?;
    queues.send_state(AgentInput::LinkUp { link }).await;
    tokio::select! {
        ended = read(link, reader, queues, meter) => ended,
        ended = write(writer, frames, meter) => ended,
    }
}

async fn read(
    link: ControlLinkId,
    mut reader: FramedReader<Frame>,
    queues: &EventQueues,
    meter: &TrafficMeter,
) -> Result<(), TransportError> {
    let mut buffered = 0;
    loop {
        let Ok(next) = tokio::time::timeout(PROGRESS_CHECK_PERIOD, reader.next()).await else {
            // A large snapshot may take longer than the inactivity timeout; after a failover the
            // same snapshot would be requested again.
            let previous = std::mem::replace(&mut buffered, reader.read_buffer().len());
            if buffered > previous && !queues.send_state(AgentInput::LinkAlive { link }).await {
                break;
            }
            continue;
        };
        let Some(frame) = next else { break };
        let frame = frame?;
        buffered = 0;
        meter.received(&frame);
        if !queues.send_control_frame(link, frame).await {
            break;
        }
    }
    Ok(())
}

async fn write(
    mut writer: FramedWriter<Frame>,
    mut frames: mpsc::Receiver<Frame>,
    meter: &TrafficMeter,
) -> Result<(), TransportError> {
    while let Some(frame) = frames.recv().await {
        meter.sent(&frame);
        writer.feed(frame).await?;
        // Frames that are ready go out together.
        while let Ok(frame) = frames.try_recv() {
            meter.sent(&frame);
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
