//! [`Disk`] on the files of one directory.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

use crate::{Disk, StorageError};

/// Suffix of files that are being written and are renamed when they are complete.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Files of one directory, without subdirectories and temporary files.
#[derive(Debug)]
pub struct FileDisk {
    directory: PathBuf,
    /// Files open for appending, by name.
    open_files: BTreeMap<String, OpenFile>,
}

#[derive(Debug)]
struct OpenFile {
    file: File,
    /// Whether the file was created and its directory entry is not synced yet.
    is_new: bool,
}

impl FileDisk {
    /// Opens a directory, which is created if it does not exist, and removes temporary files that
    /// an earlier process left.
    ///
    /// # Errors
    /// [`StorageError::Full`] when there is no space for the directory, else [`StorageError::Io`].
    pub fn open(directory: impl AsRef<Path>) -> Result<Self, StorageError> {
        let directory = directory.as_ref().to_path_buf();
        let disk = Self {
            directory,
            open_files: BTreeMap::new(),
        };
        disk.create_directory()?;
        disk.remove_temporary_files()?;
        // Renames and removals by an earlier process may be visible without being durable. Files
        // that are read from here on must not revert in a crash, as one of them may contain a vote.
        let name = disk.directory.display().to_string();
        sync_directory(&disk.directory).map_err(|error| io_error("sync", &name, error))?;
        Ok(disk)
    }

    /// Creates the directory with its missing ancestors and syncs their parents, so that the new
    /// directories survive a crash together with the files that are synced into them.
    fn create_directory(&self) -> Result<(), StorageError> {
        let name = self.directory.display().to_string();
        let mut missing = Vec::new();
        let mut path = self.directory.as_path();
        while !path.exists() {
            missing.push(path);
            match path.parent() {
                Some(parent) if parent != Path::new("") => path = parent,
                _ => break,
            }
        }
        fs::create_dir_all(&self.directory).map_err(|error| write_error("create", &name, error))?;
        for created in missing {
            let parent = match created.parent() {
                Some(parent) if parent != Path::new("") => parent,
                _ => Path::new("."),
            };
            sync_directory(parent).map_err(|error| write_error("sync", &name, error))?;
        }
        Ok(())
    }

    fn remove_temporary_files(&self) -> Result<(), StorageError> {
        for name in self.file_names()? {
            if name.ends_with(TEMPORARY_SUFFIX) {
                let path = self.path(&name);
                fs::remove_file(path).map_err(|error| write_error("remove", &name, error))?;
            }
        }
        Ok(())
    }

    fn file_names(&self) -> Result<Vec<String>, StorageError> {
        let directory_name = self.directory.display().to_string();
        let list_error = |error: io::Error| write_error("list", &directory_name, error);
        let mut names = Vec::new();
        for item in fs::read_dir(&self.directory).map_err(list_error)? {
            let item = item.map_err(list_error)?;
            if item.file_type().map_err(list_error)?.is_file() {
                names.push(item.file_name().to_string_lossy().into_owned());
            }
        }
        Ok(names)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut OpenFile> {
        if !self.open_files.contains_key(name) {
            let path = self.path(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open_files
                .insert(name.to_owned(), OpenFile { file, is_new });
        }
        self.open_files
            .get_mut(name)
            .ok_or_else(|| io::Error::from(ErrorKind::NotFound))
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        let directory = self.directory.clone();
        let open = self.open_for_append(name)?;
        open.file.sync_data()?;
        if open.is_new {
            sync_directory(&directory)?;
            open.is_new = false;
        }
        Ok(())
    }
}

impl Disk for FileDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        let mut names = self.file_names()?;
        names.retain(|name| !name.ends_with(TEMPORARY_SUFFIX));
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match fs::read(self.path(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(write_error("read", name, error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let written = self
            .open_for_append(name)
            .and_then(|open| open.file.write_all(bytes));
        written.map_err(|error| write_error("append", name, error))
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        self.sync_file(name)
            .map_err(|error| io_error("sync", name, error))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = self.path(&format!("{name}{TEMPORARY_SUFFIX}"));
        self.open_files.remove(name);
        // The old file is intact until the rename, so a full disk is recoverable here.
        write_durably(&temporary, bytes).map_err(|error| write_error("write", name, error))?;
        fs::rename(&temporary, self.path(name)).map_err(|error| io_error("rename", name, error))?;
        sync_directory(&self.directory).map_err(|error| io_error("sync", name, error))
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), StorageError> {
        let truncated = self
            .open_for_append(name)
            .and_then(|open| open.file.set_len(len));
        truncated.map_err(|error| io_error("truncate", name, error))
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.open_files.remove(name);
        match fs::remove_file(self.path(name)) {
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
            Err(error) => return Err(io_error("remove", name, error)),
        }
        sync_directory(&self.directory).map_err(|error| io_error("sync", name, error))
    }
}

fn write_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

/// Converts an error of an operation that a full disk leaves recoverable: lack of space becomes
/// [`StorageError::Full`], any other cause [`StorageError::Io`].
fn write_error(operation: &'static str, name: &str, error: io::Error) -> StorageError {
    let is_full = matches!(
        error.kind(),
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge
    );
    if is_full {
        return StorageError::Full {
            name: name.to_owned(),
        };
    }
    io_error(operation, name, error)
}

/// Converts an error of an operation that leaves the file in an unknown state, whatever the cause.
fn io_error(operation: &'static str, name: &str, error: io::Error) -> StorageError {
    StorageError::Io {
        operation,
        name: name.to_owned(),
        source: error.into(),
    }
}
