//! Reads from the deploy file which programs run on which machines.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// Class of the proxy machines in the deploy file.
const FRONT_CLASS: &str = "front";
/// Class of the control machines in the deploy file.
const CONTROL_CLASS: &str = "core";

/// Reason why the deploy file cannot be used.
#[derive(Debug, Error)]
pub enum DeployFileError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML or lacks a field.
    #[error("cannot parse the deploy file: {0}")]
    Parse(#[from] toml::de::Error),
    /// A role's program is not in the folder of the programs.
    #[error("the program of role {role} is missing: {path}")]
    MissingProgram {
        /// Name of the role.
        role: String,
        /// Path where the program should be.
        path: PathBuf,
    },
}

#[derive(Debug, Deserialize)]
struct Document {
    roles: BTreeMap<String, Role>,
}

#[derive(Debug, Deserialize)]
struct Role {
    run: String,
    on: String,
}

/// The program of one role.
#[derive(Clone, Debug)]
pub struct RoleProgram {
    /// Name of the role.
    pub role: String,
    /// Path of the executable.
    pub program: PathBuf,
}

/// Programs of the deploy file, by class of machines.
#[derive(Clone, Debug)]
pub struct DeployFile {
    /// Programs of the proxy machines.
    pub front: Vec<RoleProgram>,
    /// Programs of the control machines.
    pub control: Vec<RoleProgram>,
}

impl DeployFile {
    /// Reads the deploy file at `path`. The programs are taken from `programs` by their file names, so that builds of
    /// any profile can be used.
    ///
    /// # Errors
    /// The file cannot be read or parsed, or a program is missing.
    pub fn read(path: &Path, programs: &Path) -> Result<Self, DeployFileError> {
        let text = std::fs::read_to_string(path).map_err(|source| DeployFileError::Read {
            path: path.to_owned(),
            source,
        })?;
        let document: Document = toml::from_str(&text)?;
        let on = |class: &str| {
            let roles = document.roles.iter();
            let roles = roles.filter(|(_, role)| role.on == class);
            roles
                .map(|(name, role)| program_of(name, role, programs))
                .collect()
        };
        let front: Result<Vec<_>, _> = on(FRONT_CLASS);
        let control: Result<Vec<_>, _> = on(CONTROL_CLASS);
        Ok(Self {
            front: front?,
            control: control?,
        })
    }
}

fn program_of(name: &str, role: &Role, programs: &Path) -> Result<RoleProgram, DeployFileError> {
    let file_name = Path::new(&role.run).file_name().unwrap_or_default();
    let program = programs.join(file_name);
    if !program.is_file() {
        return Err(DeployFileError::MissingProgram {
            role: name.to_owned(),
            path: program,
        });
    }
    Ok(RoleProgram {
        role: name.to_owned(),
        program,
    })
}
