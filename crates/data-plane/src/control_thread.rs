//! Thread for a proxy's connection to the control plane.

use std::future::Future;

use miette::IntoDiagnostic;

/// Runs `work` until the process exits, on a dedicated thread with its own runtime. Because control
/// messages share no queue and no thread with the traffic, a drain takes effect in time at any load.
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
