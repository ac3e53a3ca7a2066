//! Where the programs are.

use std::path::PathBuf;

use super::error::FleetError;

/// The folder of this executable, where the other programs of the workspace are built too.
#[derive(Clone, Debug)]
pub struct Binaries {
    folder: PathBuf,
}

impl Binaries {
    /// Programs beside the running one.
    ///
    /// # Errors
    /// [`FleetError::Io`] when the path of this program is not known.
    pub fn beside_this_one() -> Result<Self, FleetError> {
        let path = std::env::current_exe().map_err(FleetError::io("finding this program"))?;
        let folder = path.parent().map(PathBuf::from).unwrap_or_default();
        Ok(Self { folder })
    }

    /// Programs in `folder`.
    #[must_use]
    pub fn in_folder(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// Path of one program, which must exist.
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
