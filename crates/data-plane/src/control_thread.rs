//! The thread that keeps a proxy connected to the control plane.

use std::future::Future;

use miette::IntoDiagnostic;

/// Runs `work` on a thread and a runtime of its own, for as long as the process lives. What keeps a proxy up
/// to date shares no queue and no thread with the traffic: a drain is seen in time at any load.
///
/// # Errors
/// Fails when the runtime cannot be built or the thread cannot be started.
pub fn spawn_control_thread(work: impl Future<Output = ()> + Send + 'static) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(work))
        .into_diagnostic()?;
    Ok(())
}
