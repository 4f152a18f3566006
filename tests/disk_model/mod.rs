//! Simulated data folder, with what a loss of power may leave of its files: what the last
//! sync of a file covered, and each later change present, missing or torn.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind},
    ops::Range,
    path::Path,
    sync::{Arc, Mutex, MutexGuard},
};

use pomelopin::adapters::folder::{Folder, FolderFile};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Folder that survives the process; clones refer to the same folder.
#[derive(Debug, Clone)]
pub struct SimulatedFolder(Arc<Mutex<Files>>);

/// Open file of a [`SimulatedFolder`].
#[derive(Debug)]
pub struct SimulatedFile {
    files: Arc<Mutex<Files>>,
    inode: usize,
}

/// What a loss of power may do to a write that was not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tearing {
    /// Only a prefix of the write is present.
    Prefix,
    /// Any part of the write is missing, and a large write consists of several.
    Holes,
}

#[derive(Debug)]
struct Files {
    rng: SmallRng,
    tearing: Tearing,
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    /// Number of operations until the process ends.
    operations_left: Option<u32>,
    /// Error of all changes.
    fault: Option<ErrorKind>,
}

#[derive(Debug, Default)]
struct Inode {
    content: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Debug)]
enum Change {
    Write { offset: usize, data: Vec<u8> },
    SetLen(usize),
}

#[derive(Debug, Clone)]
enum NameChange {
    Created { name: String, inode: usize },
    Renamed { from: String, to: String, inode: usize },
    Removed { name: String },
}

impl SimulatedFolder {
    pub fn new(seed: u64, tearing: Tearing) -> Self {
        Self(Arc::new(Mutex::new(Files {
            rng: SmallRng::seed_from_u64(seed),
            tearing,
            inodes: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            operations_left: None,
            fault: None,
        })))
    }

    /// Ends the process after `operations` changes and syncs: all later ones fail.
    pub fn end_process_after(&self, operations: u32) {
        self.files().operations_left = Some(operations);
    }

    /// Lets a new process use the files as they are.
    pub fn restart_process(&self) {
        self.files().operations_left = None;
    }

    /// Loses the power, and lets a new process use what is left of the files.
    pub fn lose_power(&self) {
        let mut files = self.files();
        files.operations_left = None;
        let all_lost = files.rng.random_range(0..4) == 0;
        files.lose_names(all_lost);
        for inode in 0..files.inodes.len() {
            files.lose_changes(inode, all_lost);
        }
    }

    /// Lets all changes fail with `fault`, or none.
    pub fn set_fault(&self, fault: Option<ErrorKind>) {
        self.files().fault = fault;
    }

    pub fn content(&self, name: &str) -> Vec<u8> {
        self.read(name).unwrap()
    }

    /// Replaces the content of a file durably.
    pub fn set_content(&self, name: &str, content: &[u8]) {
        let mut files = self.files();
        let inode = files.names[name];
        let content = content.to_vec();
        files.inodes[inode] = Inode { durable: content.clone(), content, unsynced: Vec::new() };
    }

    pub fn names(&self) -> Vec<String> {
        self.files().names.keys().cloned().collect()
    }

    fn files(&self) -> MutexGuard<'_, Files> {
        self.0.lock().unwrap()
    }

    fn open(&self, inode: usize) -> SimulatedFile {
        SimulatedFile { files: self.0.clone(), inode }
    }
}

impl Files {
    fn find(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Counts an operation of the process.
    fn operate(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => return Err(io::Error::other("the process has ended")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(())
    }

    fn change(&mut self) -> io::Result<()> {
        self.operate()?;
        self.fault.map_or(Ok(()), |fault| Err(fault.into()))
    }

    fn append(&mut self, inode: usize, data: &[u8]) {
        let offset = self.inodes[inode].content.len();
        self.inodes[inode].apply(Change::Write { offset, data: data.to_vec() });
    }

    fn sync_inode(&mut self, inode: usize) {
        let file = &mut self.inodes[inode];
        file.durable.clone_from(&file.content);
        file.unsynced.clear();
        let durable = &mut self.durable_names;
        self.unsynced_names.retain(|change| match change {
            NameChange::Created { name, inode: created } if *created == inode => {
                durable.insert(name.clone(), inode);
                false
            }
            _ => true,
        });
    }

    fn lose_names(&mut self, all_lost: bool) {
        for change in std::mem::take(&mut self.unsynced_names) {
            if all_lost || self.rng.random_bool(0.5) {
                continue;
            }
            let names = &mut self.durable_names;
            match change {
                NameChange::Created { name, inode } => {
                    names.insert(name, inode);
                }
                NameChange::Renamed { from, to, inode } => {
                    names.retain(|name, it| *name != from || *it != inode);
                    names.insert(to, inode);
                }
                NameChange::Removed { name } => {
                    names.remove(&name);
                }
            }
        }
        self.names = self.durable_names.clone();
    }

    fn lose_changes(&mut self, inode: usize, all_lost: bool) {
        let mut content = std::mem::take(&mut self.inodes[inode].durable);
        for change in std::mem::take(&mut self.inodes[inode].unsynced) {
            match change {
                _ if all_lost => {}
                Change::SetLen(len) if self.rng.random_bool(0.5) => content.resize(len, 0),
                Change::SetLen(_) => {}
                Change::Write { offset, data } => self.tear(&mut content, offset, &data),
            }
        }
        self.inodes[inode] = Inode { content: content.clone(), durable: content, unsynced: vec![] };
    }

    /// Writes what is left of a write that was not synced.
    fn tear(&mut self, content: &mut Vec<u8>, offset: usize, data: &[u8]) {
        let len = data.len();
        match self.rng.random_range(0..4) {
            0 => {}
            1 => write_at(content, offset, data),
            2 if self.tearing == Tearing::Holes => {
                let first = self.random_range(len);
                let second = self.random_range(len);
                for (at, byte) in data.iter().enumerate() {
                    if !first.contains(&at) && !second.contains(&at) {
                        write_at(content, offset + at, &[*byte]);
                    }
                }
            }
            _ => {
                let end = self.rng.random_range(0..=len);
                write_at(content, offset, &data[..end]);
            }
        }
    }

    fn random_range(&mut self, len: usize) -> Range<usize> {
        let start = self.rng.random_range(0..=len);
        start..self.rng.random_range(start..=len)
    }
}

impl Inode {
    fn apply(&mut self, change: Change) {
        match &change {
            Change::Write { offset, data } => write_at(&mut self.content, *offset, data),
            Change::SetLen(len) => self.content.resize(*len, 0),
        }
        self.unsynced.push(change);
    }
}

fn write_at(content: &mut Vec<u8>, offset: usize, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let end = offset + data.len();
    content.resize(content.len().max(end), 0);
    content[offset..end].copy_from_slice(data);
}

impl Folder for SimulatedFolder {
    type File = SimulatedFile;

    fn path(&self) -> &Path {
        Path::new("simulated")
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let files = self.files();
        Ok(files.inodes[files.find(name)?].content.clone())
    }

    fn create(&self, name: &str) -> io::Result<SimulatedFile> {
        let mut files = self.files();
        files.change()?;
        let inode = match files.find(name) {
            Ok(inode) => {
                files.inodes[inode].apply(Change::SetLen(0));
                inode
            }
            Err(_) => {
                files.inodes.push(Inode::default());
                let (name, inode) = (name.to_owned(), files.inodes.len() - 1);
                files.names.insert(name.clone(), inode);
                files.unsynced_names.push(NameChange::Created { name, inode });
                inode
            }
        };
        Ok(self.open(inode))
    }

    fn open_append(&self, name: &str) -> io::Result<SimulatedFile> {
        let inode = self.files().find(name)?;
        Ok(self.open(inode))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files();
        files.change()?;
        let inode = files.find(from)?;
        files.names.remove(from);
        files.names.insert(to.to_owned(), inode);
        let (from, to) = (from.to_owned(), to.to_owned());
        files.unsynced_names.push(NameChange::Renamed { from, to, inode });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut files = self.files();
        files.change()?;
        files.find(name)?;
        files.names.remove(name);
        files.unsynced_names.push(NameChange::Removed { name: name.to_owned() });
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut files = self.files();
        files.operate()?;
        files.unsynced_names.clear();
        files.durable_names = files.names.clone();
        Ok(())
    }

    fn refers_to(&self, name: &str, file: &SimulatedFile) -> io::Result<bool> {
        Ok(self.files().find(name)? == file.inode)
    }
}

impl SimulatedFile {
    fn files(&self) -> MutexGuard<'_, Files> {
        self.files.lock().unwrap()
    }
}

impl FolderFile for SimulatedFile {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        if let Some(fault) = files.fault {
            // The free space may hold a part of the write.
            files.operate()?;
            let end = files.rng.random_range(0..=buf.len());
            files.append(self.inode, &buf[..end]);
            return Err(fault.into());
        }
        let split = match files.tearing {
            Tearing::Prefix => 0,
            Tearing::Holes => files.rng.random_range(0..=buf.len()),
        };
        for part in [&buf[..split], &buf[split..]] {
            files.operate()?;
            files.append(self.inode, part);
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut files = self.files();
        files.change()?;
        files.inodes[self.inode].apply(Change::SetLen(usize::try_from(len).unwrap()));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut files = self.files();
        files.operate()?;
        files.sync_inode(self.inode);
        Ok(())
    }

    fn sync_all(&self) -> io::Result<()> {
        self.sync_data()
    }
}
