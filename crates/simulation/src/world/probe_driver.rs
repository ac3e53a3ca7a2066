//! Drives the health probes and load reports of the proxies.

use millford_api::local::{LocalFrame, local_frame};
use millford_proxy::daemon::prober::{PROBE_TIMEOUT, QUIET_BEFORE_PROBE};

use crate::network::{LinkNumber, ProcessId};
use crate::world::addresses::backend_of_id;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::{BackendLink, lock};
use crate::world::simulation::Simulation;

/// Number of ticks of a proxy per load report.
const TICKS_PER_REPORT: u64 = 4;

/// Outcome of a health probe.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeOutcome {
    /// The backend answered.
    Answered,
    /// The connection failed, or no answer arrived in time.
    Failed,
}

impl Simulation {
    pub(super) fn proxy_tick(&mut self, number: u16) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let reports_due = proxy.count_tick().is_multiple_of(TICKS_PER_REPORT);
        let Some(running) = proxy.running.as_ref() else {
            return;
        };
        let now = lock(&running.port).now;
        let due = if proxy.backends.is_probing() {
            Vec::new()
        } else {
            running.state.health.to_probe(now, QUIET_BEFORE_PROBE)
        };
        let reports = if reports_due {
            running.state.load_table.take_reports()
        } else {
            Vec::new()
        };
        for report in reports {
            let body = Some(local_frame::Body::LoadReport(report));
            self.proxy_to_agent(number, LocalFrame { body });
        }
        for backend in due {
            self.start_probe(number, backend);
        }
    }

    fn start_probe(&mut self, number: u16, backend: String) {
        let Some(target) = backend_of_id(&backend) else {
            return;
        };
        let process = ProcessId::Proxy(number);
        let incarnation = self.incarnation_of(process);
        let link = self.open_link(process, ProcessId::Backend(target));
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.backends.insert(link, BackendLink::Probe { backend });
        }
        let input = ProcessInput::ProbeTimeout { link };
        self.schedule_input(PROBE_TIMEOUT, process, incarnation, input);
    }

    /// Handles the end of a health probe.
    pub(super) fn finish_probe(&mut self, number: u16, link: LinkNumber, outcome: ProbeOutcome) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        let Some(BackendLink::Probe { backend }) = proxy.backends.get(link).cloned() else {
            return;
        };
        proxy.backends.remove(link);
        if let Some(running) = proxy.running.as_ref() {
            let now = lock(&running.port).now;
            match outcome {
                ProbeOutcome::Answered => running.state.health.probe_succeeded(&backend, now),
                ProbeOutcome::Failed => running.state.health.probe_failed(&backend),
            };
        }
        self.close_link(ProcessId::Proxy(number), link);
    }
}
