//! One connection to a control node.

use std::sync::Arc;

use futures::{SinkExt, StreamExt};
use millford_api::internal::Frame;
use millford_transport::{FramedReader, FramedWriter, TransportError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::daemon::event_queues::EventQueues;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::input::{AgentInput, ControlLinkId};
use crate::timing::CONNECT_TIMEOUT;

/// Frames that may wait to be written. A node that does not read is left before they are many.
const OUTLET_LENGTH: usize = 4096;

/// A connection that is being made, or is up. Dropping it closes it.
#[derive(Debug)]
pub struct ControlConnection {
    link: ControlLinkId,
    outlet: mpsc::Sender<Frame>,
    task: JoinHandle<()>,
}

impl ControlConnection {
    /// Starts to connect; the outcome and all frames go to `queues`.
    #[must_use]
    pub fn open(
        link: ControlLinkId,
        address: String,
        queues: EventQueues,
        meter: Arc<TrafficMeter>,
    ) -> Self {
        let (outlet, frames) = mpsc::channel(OUTLET_LENGTH);
        let task = tokio::spawn(async move {
            // Whatever ended the connection, the agent goes on to the next node.
            let _ = converse(link, &address, &queues, frames, &meter).await;
            queues.state(AgentInput::LinkDown { link }).await;
        });
        Self { link, outlet, task }
    }

    /// Number of the connection.
    #[must_use]
    pub fn link(&self) -> ControlLinkId {
        self.link
    }

    /// Queues a frame; one that finds the queue full is lost, as it would be with the connection.
    pub fn send(&self, frame: Frame) {
        let _ = self.outlet.try_send(frame);
    }
}

impl Drop for ControlConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn converse(
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
    queues.state(AgentInput::LinkUp { link }).await;
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
    while let Some(frame) = reader.next().await {
        let frame = frame?;
        meter.received(&frame);
        if !queues.control_frame(link, frame).await {
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
        // What is ready goes out together.
        while let Ok(frame) = frames.try_recv() {
            meter.sent(&frame);
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
