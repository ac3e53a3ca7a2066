//! Persists the list of control members across restarts.

use std::io::Write;
use std::path::{Path, PathBuf};

use millford_api::state::ControlMember;
use millford_settings::PartLog;

const LOG: PartLog = PartLog::new("AGENT");

/// Name of the file in the data folder.
const FILE_NAME: &str = "control-members.json";

/// File with the last known control members.
#[derive(Clone, Debug)]
pub struct SavedMembers {
    path: PathBuf,
}

impl SavedMembers {
    /// Creates `folder` if it is missing, and refers to the file in it, which need not exist.
    ///
    /// # Errors
    /// The folder could not be created.
    pub fn in_folder(folder: &Path) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE_NAME);
        Ok(Self { path })
    }

    /// Returns the saved members, or an empty list if the file is missing or invalid; the agent
    /// then starts from the seeds alone.
    #[must_use]
    pub fn load(&self) -> Vec<ControlMember> {
        let Ok(text) = std::fs::read(&self.path) else {
            return Vec::new();
        };
        serde_json::from_slice(&text).unwrap_or_else(|error| {
            LOG.warn(format_args!(
                "Ignoring the saved list of control nodes, which is invalid: {error}."
            ));
            Vec::new()
        })
    }

    /// Saves the members on a blocking thread. A failure is only logged.
    pub fn save(&self, members: Vec<ControlMember>) {
        let path = self.path.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write(&path, &members) {
                LOG.warn(format_args!(
                    "Failed to save the list of control nodes: {error}."
                ));
            }
        });
    }
}

/// Writes and syncs a temporary file and renames it, so that the saved file is never incomplete.
fn write(path: &Path, members: &[ControlMember]) -> std::io::Result<()> {
    let text = serde_json::to_vec(members)?;
    let temporary = path.with_extension("tmp");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&text)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}
