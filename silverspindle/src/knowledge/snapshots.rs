//! Snapshots on a lasting disk: written in the background, so that a reader finds the old one or the new one,
//! whole, whenever the writer is killed.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bitternhold::Micros;
use silverspindle_conf::Snapshot;
use silverspindle_knowledge::{InstanceId, Item, snapshot};

use crate::clock::Stamp;
use crate::traffic::Message;

/// Where the snapshot of a router lies. The instance's number stands for its name, which may be no file name.
pub fn path(directory: &Path, me: InstanceId) -> PathBuf {
    directory.join(format!("{:016x}.knowledge", me.0))
}

/// Puts bytes in place of a file: written beside it, synced, renamed over it, the directory synced.
pub fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    drop(file);
    fs::rename(&beside, path)?;
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}

/// Reads a snapshot of `most` bytes at most: for how long the router was away, and the items. None: there is
/// none. What can't be used is refused with a reason.
pub fn read(path: &Path, me: InstanceId, most: u64) -> Result<Option<(Micros, Vec<Item>)>, String> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let mut bytes = Vec::new();
    file.take(most + 1).read_to_end(&mut bytes).map_err(|e| format!("{}: {e}", path.display()))?;
    if bytes.len() as u64 > most {
        return Err(format!("{}: is larger than {most} bytes", path.display()));
    }
    let read = snapshot::decode(me, Stamp::now().as_micros(), &bytes)
        .map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Some(read))
}

/// Writes snapshots for ever, one each `every`.
pub async fn run(conf: Snapshot, me: InstanceId, director: Sender<Message>) {
    let file = path(&conf.directory, me);
    let mut failing = false;
    loop {
        Timer::after(Duration::from_micros(conf.interval)).await;
        let written = shot(&file, me, conf.max_size, &director).await;
        match written {
            None => return,
            Some(Ok(())) if failing => tracing::info!("{}: snapshots are written again", file.display()),
            // Said once: a full disk stays full, and the router does without.
            Some(Err(ref e)) if !failing => {
                tracing::warn!("{}: {e}; the last snapshot is kept", file.display());
            }
            Some(_) => {}
        }
        failing = written.is_some_and(|w| w.is_err());
    }
}

/// Writes one; none: the director is gone.
pub async fn shot(
    file: &Path,
    me: InstanceId,
    most: u64,
    director: &Sender<Message>,
) -> Option<io::Result<()>> {
    let (reply, items) = async_channel::bounded(1);
    director.send(Message::ExportKnowledge { reply }).await.ok()?;
    let items: Vec<Item> = items.recv().await.ok()?;
    let (file, unix) = (file.to_owned(), Stamp::now().as_micros());
    let work = move || write(&file, &snapshot::encode(me, unix, items, most as usize));
    Some(blocking::unblock(work).await)
}
