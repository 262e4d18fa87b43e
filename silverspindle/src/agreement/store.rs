//! An elector's disk: `redb`, one file. What is written is synced before the call returns.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rand::TryRngCore;
use rand::rngs::OsRng;
use redb::{Database, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use silverspindle_agreement::{Disk, Entry, Write};
use silverspindle_knowledge::InstanceId;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// What redb may keep in memory; the log is in memory anyway.
const CACHE: usize = 1 << 20;

/// Why an elector can't have its disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Another process has it open: an older one of the same name, in an upgrade.
    Held,
    /// It can't be used.
    Disk(String),
}

/// A number from the system's generator.
pub fn draw() -> Result<u64, String> {
    OsRng.try_next_u64().map_err(|e| format!("the system gives no random numbers: {e}"))
}

/// An elector's file, open.
#[derive(Clone)]
pub struct Store {
    file: Arc<Database>,
    path: PathBuf,
}

fn spell<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, String> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(format!("{what} can't be read")),
    }
}

impl Store {
    /// Where the elector of this name keeps its log.
    pub fn path(directory: &Path, name: &str) -> PathBuf {
        directory.join(format!("{:016x}.agreement", InstanceId::of(name).0))
    }

    /// Opens the file, or makes one with a new identity where there is none, and counts the start. What is torn
    /// beyond what a crash can do, or another router's, is refused: it may hold votes.
    pub fn open(directory: &Path, name: &str) -> Result<(Self, Disk), Fault> {
        let path = Self::path(directory, name);
        let faulty = |e: String| Fault::Disk(format!("{}: {e}", path.display()));
        let open = || {
            let mut file = Database::builder().set_cache_size(CACHE).create(&path).map_err(|e| match e {
                redb::DatabaseError::DatabaseAlreadyOpen => Fault::Held,
                e => faulty(e.to_string()),
            })?;
            // Every page against its checksum: what a disk has spoilt must not be read as a vote.
            file.check_integrity().map_err(|e| faulty(e.to_string()))?;
            let store = Self { file: Arc::new(file), path: path.clone() };
            let disk = store.read(name).map_err(faulty)?;
            Ok((store, disk))
        };
        // The library takes some spoilt pages for a fault of its own and panics.
        let opened = std::panic::catch_unwind(std::panic::AssertUnwindSafe(open));
        opened.unwrap_or_else(|_| Err(faulty("a page that can't be read".to_owned())))
    }

    fn read(&self, name: &str) -> Result<Disk, String> {
        let e = |e: &dyn std::fmt::Display| e.to_string();
        let begin = self.file.begin_write().map_err(|x| e(&x))?;
        let disk = {
            let mut meta = begin.open_table(META).map_err(|x| e(&x))?;
            let log = begin.open_table(LOG).map_err(|x| e(&x))?;
            let get = |key: &str| match meta.get(key) {
                Ok(value) => Ok(value.map(|v| v.value().to_vec())),
                Err(x) => Err(e(&x)),
            };
            let mut disk = match (get("name")?, get("id")?) {
                (Some(whose), Some(id)) => {
                    let whose: String = read(&whose, "its name")?;
                    if whose != name {
                        return Err(format!("is {whose}'s, not {name}'s"));
                    }
                    Disk::new(read(&id, "its identity")?)
                }
                (None, None) => Disk::new(draw()?.max(1)),
                _ => return Err("lacks its name or its identity".to_owned()),
            };
            if let Some(bytes) = get("boots")? {
                disk.boots = read::<u64>(&bytes, "its count of starts")? + 1;
            }
            if let Some(bytes) = get("promise")? {
                disk.promise = Some(read(&bytes, "its promise")?);
            }
            if let Some(bytes) = get("hard")? {
                disk.hard = read(&bytes, "term and vote")?;
            }
            if let Some(bytes) = get("snapshot")? {
                disk.snapshot = read(&bytes, "the snapshot")?;
            }
            for item in log.iter().map_err(|x| e(&x))? {
                let (index, bytes) = item.map_err(|x| e(&x))?;
                let entry: Entry = read(bytes.value(), "an entry")?;
                if entry.index != index.value() {
                    return Err("an entry that is not where it should be".to_owned());
                }
                disk.entries.insert(entry.index, entry);
            }
            let (first, last) = (disk.entries.keys().next(), disk.entries.keys().next_back());
            let gap = first.zip(last).is_some_and(|(first, last)| {
                last - first + 1 != disk.entries.len() as u64 || *first > disk.snapshot.index + 1
            });
            if gap {
                return Err("entries are missing".to_owned());
            }
            for (key, value) in
                [("name", spell(&name.to_owned())), ("id", spell(&disk.id)), ("boots", spell(&disk.boots))]
            {
                meta.insert(key, value.as_slice()).map_err(|x| e(&x))?;
            }
            disk
        };
        begin.commit().map_err(|x| e(&x))?;
        Ok(disk)
    }

    /// Makes a change durable.
    pub fn write(&self, write: &Write) -> Result<(), String> {
        self.change(write).map_err(|e| format!("{}: {e}", self.path.display()))
    }

    fn change(&self, write: &Write) -> Result<(), String> {
        let e = |e: &dyn std::fmt::Display| e.to_string();
        let begin = self.file.begin_write().map_err(|x| e(&x))?;
        {
            let mut meta = begin.open_table(META).map_err(|x| e(&x))?;
            let mut log = begin.open_table(LOG).map_err(|x| e(&x))?;
            let parts = [
                ("promise", write.promise.as_ref().map(spell)),
                ("hard", write.hard.as_ref().map(spell)),
                ("snapshot", write.snapshot.as_ref().map(spell)),
            ];
            for (key, value) in parts {
                if let Some(value) = value {
                    meta.insert(key, value.as_slice()).map_err(|x| e(&x))?;
                }
            }
            if write.drop_to > 0 {
                log.retain_in(..=write.drop_to, |_, _| false).map_err(|x| e(&x))?;
            }
            if let Some(first) = write.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(|x| e(&x))?;
                for entry in &write.entries {
                    log.insert(entry.index, spell(entry).as_slice()).map_err(|x| e(&x))?;
                }
            }
        }
        begin.commit().map_err(|x| e(&x))
    }
}
