//! Injects a backend fault that lasts while another fault is active.

use super::backend_faults::switches;
use super::driver::Driver;
use super::fault_kind::FaultKind;
use crate::emulator::faults::FaultSwitches;
use crate::fleet::FleetError;

/// Inverse of the probability with which a fault that may have a companion gets one.
const COMPANION_ODDS: usize = 3;
/// Fault kinds that a companion is drawn from.
const COMPANIONS: [FaultKind; 5] = [
    FaultKind::BackendUnresponsive,
    FaultKind::BackendSlow,
    FaultKind::BackendLate,
    FaultKind::BackendCrossed,
    FaultKind::BackendStray,
];

/// A backend fault that lasts while another fault is active.
#[derive(Clone, Debug)]
pub struct Companion {
    kind: FaultKind,
    backend: String,
}

impl Companion {
    /// Describes the fault and its target for printed output.
    #[must_use]
    pub fn text(&self) -> String {
        format!("{} of {}", self.kind.name(), self.backend)
    }
}

impl Driver {
    /// Starts a companion of the fault `main` with a probability of one in `COMPANION_ODDS`. Faults of
    /// backends never have one.
    ///
    /// # Errors
    /// The backend does not accept its fault switches.
    pub async fn begin_companion(
        &mut self,
        main: FaultKind,
    ) -> Result<Option<Companion>, FleetError> {
        if main.targets_backend() || self.draw(COMPANION_ODDS) > 0 {
            return Ok(None);
        }
        let kind = COMPANIONS[self.draw(COMPANIONS.len())];
        let index = self.draw(self.fleet.backends.len());
        let backend = &self.fleet.backends[index];
        backend.set_faults(&switches(kind)).await?;
        Ok(Some(Companion {
            kind,
            backend: backend.spec.id.clone(),
        }))
    }

    /// Ends a companion.
    ///
    /// # Errors
    /// The backend does not accept its fault switches.
    pub async fn end_companion(&self, companion: &Companion) -> Result<(), FleetError> {
        let mut backends = self.fleet.backends.iter();
        match backends.find(|backend| backend.spec.id == companion.backend) {
            Some(backend) => backend.set_faults(&FaultSwitches::default()).await,
            None => Ok(()),
        }
    }
}
