//! Connection to one control node.

use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use millford_api::internal::Frame;
use millford_transport::{FrameLimits, FramedReader, FramedWriter, TransportError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::daemon::event_queues::EventQueues;
use crate::daemon::traffic_meter::TrafficMeter;
use crate::input::{AgentInput, ControlLinkId};
use crate::timing::CONNECT_TIMEOUT;

/// Capacity of the send queue, in frames. If the control node stops reading, the inactivity timeout
/// closes the connection before the queue is full.
const SEND_QUEUE_LENGTH: usize = 4096;

/// Period at which the reader checks whether further bytes of an incomplete frame have arrived.
const PROGRESS_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// A connection that is being established or is open. Dropping it closes the connection.
#[derive(Debug)]
pub struct ControlConnection {
    link: ControlLinkId,
    frames: mpsc::Sender<Frame>,
    task: JoinHandle<()>,
}

impl ControlConnection {
    /// Starts to connect to `address` (IP address and port). The result of the attempt, all
    /// received frames and the end of the connection are reported through `queues`.
    #[must_use]
    pub fn open(
        link: ControlLinkId,
        address: String,
        queues: EventQueues,
        meter: Arc<TrafficMeter>,
        limits: FrameLimits,
    ) -> Self {
        let (sender, frames) = mpsc::channel(SEND_QUEUE_LENGTH);
        let task = tokio::spawn(async move {
            // The error is not needed: the agent fails over to the next endpoint in any case.
            let _ = run(link, &address, &queues, frames, &meter, &limits).await;
            queues.send_state(AgentInput::LinkDown { link }).await;
        });
        Self {
            link,
            frames: sender,
            task,
        }
    }

    /// Returns the identifier of the connection.
    #[must_use]
    pub fn link(&self) -> ControlLinkId {
        self.link
    }

    /// Queues a frame to be sent. If the queue is full or the connection has ended, the frame is
    /// dropped, like frames in flight on a connection that fails.
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
    limits: &FrameLimits,
) -> Result<(), TransportError> {
    let address = address
        .parse()
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let (reader, writer) = millford_transport::connect(address, CONNECT_TIMEOUT, limits).await?;
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
            // Receiving a large snapshot may take longer than the inactivity timeout. Progress is
            // reported because a failover would request the same snapshot again.
            let previous = std::mem::replace(&mut buffered, reader.buffered_bytes());
            if buffered > previous && !queues.send_state(AgentInput::LinkProgress { link }).await {
                break;
            }
            continue;
        };
        let Some(frame) = next else { break };
        let frame = frame?;
        buffered = 0;
        meter.record_received(&frame);
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
        meter.record_sent(&frame);
        writer.feed(frame).await?;
        // Writes all queued frames before flushing.
        while let Ok(frame) = frames.try_recv() {
            meter.record_sent(&frame);
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
