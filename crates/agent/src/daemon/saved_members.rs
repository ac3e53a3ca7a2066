//! The control members, saved over restarts.

use std::io::Write;
use std::path::{Path, PathBuf};

use millford_api::state::ControlMember;
use millford_settings::PartLog;

const LOG: PartLog = PartLog::new("AGENT");

/// Name of the file in the data folder.
const FILE_NAME: &str = "control-members.json";

/// A file with the last known control nodes.
#[derive(Clone, Debug)]
pub struct SavedMembers {
    path: PathBuf,
}

impl SavedMembers {
    /// The file in `folder`, which is made when it is missing.
    ///
    /// # Errors
    /// The folder cannot be made.
    pub fn in_folder(folder: &Path) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE_NAME);
        Ok(Self { path })
    }

    /// The saved members; none when there is no file or it is damaged, as the seeds remain.
    #[must_use]
    pub fn load(&self) -> Vec<ControlMember> {
        let Ok(text) = std::fs::read(&self.path) else {
            return Vec::new();
        };
        serde_json::from_slice(&text).unwrap_or_else(|error| {
            LOG.warn(format_args!(
                "The saved list of control nodes is damaged: {error}."
            ));
            Vec::new()
        })
    }

    /// Saves the members, on a thread for blocking work.
    pub fn save(&self, members: Vec<ControlMember>) {
        let path = self.path.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(error) = write(&path, &members) {
                LOG.warn(format_args!(
                    "The list of control nodes could not be saved: {error}."
                ));
            }
        });
    }
}

/// Writes a temporary file, syncs it and renames it, so that the file is never incomplete.
fn write(path: &Path, members: &[ControlMember]) -> std::io::Result<()> {
    let text = serde_json::to_vec(members)?;
    let temporary = path.with_extension("tmp");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&text)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}
