//! Locates the programs of the workspace.

use std::path::PathBuf;

use super::error::FleetError;

/// Folder that holds the programs of the workspace.
#[derive(Clone, Debug)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// Uses the folder of the running executable, where Cargo puts the other programs of the workspace too.
    ///
    /// # Errors
    /// [`FleetError::Io`] when the path of the running executable cannot be determined.
    pub fn beside_current_executable() -> Result<Self, FleetError> {
        let path =
            std::env::current_exe().map_err(FleetError::io("locating the running executable"))?;
        let folder = path.parent().map(PathBuf::from).unwrap_or_default();
        Ok(Self { folder })
    }

    /// Uses the programs in `folder`.
    #[must_use]
    pub fn in_folder(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// Returns the path of one program after checking that the file exists.
    ///
    /// # Errors
    /// [`FleetError::ProgramMissing`] when it was not built.
    pub fn path(&self, program: &str) -> Result<PathBuf, FleetError> {
        let path = self.folder.join(program);
        if path.is_file() {
            Ok(path)
        } else {
            Err(FleetError::ProgramMissing(path))
        }
    }
}
