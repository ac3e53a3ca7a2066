//! Probes and load reports of the proxies.

use millford_api::local::{LocalFrame, local_frame};
use millford_proxy::daemon::prober::{PROBE_TIMEOUT, QUIET_BEFORE_PROBE};

use crate::network::{LinkNumber, ProcessId};
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::proxy::{BackendLink, lock};
use crate::world::registry::backend_of_id;
use crate::world::site::Site;

const TICKS_PER_REPORT: u64 = 4;

impl Site {
    pub(super) fn proxy_tick(&mut self, number: u16) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        proxy.ticks += 1;
        let reports_due = proxy.ticks.is_multiple_of(TICKS_PER_REPORT);
        let Some(core) = proxy.core.as_ref() else {
            return;
        };
        let probing = proxy
            .backends
            .values()
            .any(|purpose| matches!(purpose, BackendLink::Probe { .. }));
        let now = lock(&core.port).now;
        let due = match probing {
            true => Vec::new(),
            false => core.state.health.to_probe(now, QUIET_BEFORE_PROBE),
        };
        let reports = match reports_due {
            true => core.state.load_table.take_reports(),
            false => Vec::new(),
        };
        for report in reports {
            let body = Some(local_frame::Body::LoadReport(report));
            self.proxy_to_agent(number, LocalFrame { body });
        }
        for backend in due {
            self.start_probe(number, backend);
        }
    }

    pub(super) fn start_probe(&mut self, number: u16, backend: String) {
        let Some(target) = backend_of_id(&backend) else {
            return;
        };
        let process = ProcessId::Proxy(number);
        let boot = self.boot_of(process);
        let link = self.open_link(process, ProcessId::Backend(target));
        if let Some(proxy) = self.proxies.get_mut(&number) {
            proxy.backends.insert(link, BackendLink::Probe { backend });
        }
        let input = ProcessInput::ProbeOverdue { link };
        self.after(
            PROBE_TIMEOUT,
            Event::Input {
                process,
                boot,
                input,
            },
        );
    }

    /// A probe was answered, failed or took too long.
    pub fn probe_ends(&mut self, number: u16, link: LinkNumber, answered: bool) {
        let Some(proxy) = self.proxies.get_mut(&number) else {
            return;
        };
        if !matches!(proxy.backends.get(&link), Some(BackendLink::Probe { .. })) {
            return;
        }
        let Some(BackendLink::Probe { backend }) = proxy.backends.remove(&link) else {
            return;
        };
        if let Some(core) = proxy.core.as_ref() {
            let now = lock(&core.port).now;
            match answered {
                true => core.state.health.probe_succeeded(&backend, now),
                false => core.state.health.probe_failed(&backend),
            };
        }
        self.close_link(ProcessId::Proxy(number), link);
    }
}
