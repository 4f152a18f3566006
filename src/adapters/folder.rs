//! File operations on the data folder of a control host.

use std::{
    fmt,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write as _},
    os::unix::fs::MetadataExt,
    path::{Path, PathBuf},
};

use eyre::{Result, WrapErr, bail};

const LOCK: &str = "lock";

/// Folder whose files are addressed by name.
pub trait Folder {
    type File: FolderFile + fmt::Debug;

    /// Path for error messages.
    fn path(&self) -> &Path;

    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, or truncates the existing one.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    fn open_append(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file; an existing file `to` is replaced.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    fn sync(&self) -> io::Result<()>;

    /// Whether `name` refers to the open `file`.
    fn refers_to(&self, name: &str, file: &Self::File) -> io::Result<bool>;
}

/// Open file of a [`Folder`].
pub trait FolderFile {
    fn append(&mut self, buf: &[u8]) -> io::Result<()>;

    fn set_len(&self, len: u64) -> io::Result<()>;

    /// Makes the content and the length durable.
    fn sync_data(&self) -> io::Result<()>;

    /// Makes the content and all metadata durable.
    fn sync_all(&self) -> io::Result<()>;
}

/// Folder of the operating system, locked for this process.
#[derive(Debug)]
pub struct OsFolder {
    path: PathBuf,
    /// Advisory lock that keeps other processes from using the folder.
    _lock: File,
}

impl OsFolder {
    /// Locks the folder, creating it if it is missing.
    pub fn open(path: &Path) -> Result<Self> {
        let path_display = path.display();
        fs::create_dir_all(path)
            .wrap_err_with(|| format!("cannot create the data folder {path_display}"))?;
        let lock = lock_folder(path)?;
        Ok(Self { path: path.to_owned(), _lock: lock })
    }
}

impl Folder for OsFolder {
    type File = File;

    fn path(&self) -> &Path {
        &self.path
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.path.join(name))
    }

    fn open_append(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn refers_to(&self, name: &str, file: &File) -> io::Result<bool> {
        let current = fs::metadata(self.path.join(name))?;
        Ok(current.ino() == file.metadata()?.ino())
    }
}

impl FolderFile for File {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        self.write_all(buf)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        File::set_len(self, len)
    }

    fn sync_data(&self) -> io::Result<()> {
        File::sync_data(self)
    }

    fn sync_all(&self) -> io::Result<()> {
        File::sync_all(self)
    }
}

fn lock_folder(path: &Path) -> Result<File> {
    let lock_path = path.join(LOCK);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&lock_path);
    let file = file.wrap_err_with(|| format!("cannot open {}", lock_path.display()))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            bail!("another process uses the data folder {}", path.display())
        }
        Err(TryLockError::Error(error)) => {
            Err(error).wrap_err_with(|| format!("cannot lock {}", lock_path.display()))
        }
    }
}
