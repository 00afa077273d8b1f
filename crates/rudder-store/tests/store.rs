//! Torn, flipped, emptied and full data folders.

use std::{fs, io, path::Path};

use rudder_replica::{Entry, Payload, Record, Snapshot};
use rudder_store::{Medium, Store, frame, open, open::Error, write};

fn entry(index: u64) -> Record {
    Record::Entry(Entry { index, term: 1, payload: Payload::Command(vec![index as u8; 20].into()) })
}

/// A folder with `count` entries after an empty snapshot.
fn filled(folder: &Path, count: u64) {
    let mut store = open(folder, "node", 7).expect("a fresh folder").store;
    store.append(&[Record::Hard { term: 3, vote: Some(9) }]).expect("append");
    for index in 1..=count {
        store.append(&[entry(index)]).expect("append");
    }
    store.sync().expect("sync");
}

fn state(folder: &Path) -> std::path::PathBuf {
    folder.join("state-1")
}

macro_rules! folders {
    ($($name:ident: |$folder:ident| $body:block)*) => {
        $(#[test]
        fn $name() {
            let temporary = tempfile::tempdir().expect("a temporary folder");
            let $folder = temporary.path();
            $body
        })*
    };
}

folders! {
    what_was_saved_is_read_again: |folder| {
        filled(folder, 5);
        let outcome = open(folder, "node", 8).expect("a sound folder");
        assert_eq!((outcome.id, outcome.cut), (7, 0));
        assert_eq!((outcome.durable.term, outcome.durable.vote), (3, Some(9)));
        assert_eq!(outcome.durable.entries.len(), 5);
    }

    a_torn_tail_is_cut_and_the_folder_goes_on: |folder| {
        filled(folder, 5);
        let bytes = fs::read(state(folder)).expect("read");
        fs::write(state(folder), &bytes[..bytes.len() - 7]).expect("write");
        let mut outcome = open(folder, "node", 8).expect("a torn tail is no damage");
        assert!(outcome.cut > 0);
        assert_eq!(outcome.durable.entries.len(), 4);
        outcome.store.append(&[entry(5)]).expect("append");
        outcome.store.sync().expect("sync");
        assert_eq!(open(folder, "node", 8).expect("sound again").durable.entries.len(), 5);
    }

    a_tail_of_zeros_is_cut: |folder| {
        filled(folder, 3);
        let mut bytes = fs::read(state(folder)).expect("read");
        bytes.extend([0; 64]);
        fs::write(state(folder), &bytes).expect("write");
        let outcome = open(folder, "node", 8).expect("zeros are an unfinished write");
        assert_eq!((outcome.cut, outcome.durable.entries.len()), (64, 3));
    }

    any_flipped_bit_stops_the_start: |folder| {
        filled(folder, 3);
        let sound = fs::read(state(folder)).expect("read");
        for at in (0..sound.len()).step_by(3) {
            let mut bytes = sound.clone();
            bytes[at] ^= 0x10;
            fs::write(state(folder), &bytes).expect("write");
            let result = open(folder, "node", 8);
            assert!(matches!(result, Err(Error::Damaged { .. })), "byte {at}: {result:?}");
        }
    }

    an_emptied_folder_is_a_new_replica: |folder| {
        filled(folder, 3);
        fs::remove_file(state(folder)).expect("remove");
        let outcome = open(folder, "node", 8).expect("an empty folder");
        assert_eq!((outcome.id, outcome.durable.term, outcome.durable.entries.len()), (8, 0, 0));
    }

    a_folder_of_another_instance_is_refused: |folder| {
        filled(folder, 1);
        assert!(matches!(open(folder, "other", 8), Err(Error::OtherOwner { .. })));
    }

    a_snapshot_takes_the_place_of_the_file: |folder| {
        let mut store = open(folder, "node", 7).expect("a fresh folder").store;
        store.append(&[entry(1), entry(2)]).expect("append");
        let snapshot = Snapshot { index: 2, term: 1, ..Snapshot::default() };
        store.replace(&snapshot, &[Record::Hard { term: 4, vote: None }, entry(3)]).expect("replace");
        assert!(!state(folder).exists());
        let durable = open(folder, "node", 8).expect("sound").durable;
        assert_eq!((durable.snapshot.index, durable.term, durable.entries.len()), (2, 4, 1));
    }

    a_crash_before_the_rename_leaves_the_old_file: |folder| {
        filled(folder, 2);
        fs::write(folder.join("draft"), b"half a snapsh").expect("write");
        assert_eq!(open(folder, "node", 8).expect("sound").durable.entries.len(), 2);
    }
}

/// A disk of 200 bytes, whose last write gets through in part.
struct Small(Vec<u8>);

impl Medium for Small {
    fn create(_: &Path) -> io::Result<Small> {
        Ok(Small(Vec::new()))
    }

    fn reopen(_: &Path) -> io::Result<Small> {
        Ok(Small(Vec::new()))
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let room = 200_usize.saturating_sub(self.0.len());
        self.0.extend(&bytes[..bytes.len().min(room)]);
        if bytes.len() > room { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.0.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::Other.into())
    }
}

#[test]
fn a_full_disk_leaves_no_part_of_a_record_behind() {
    let mut store = Store::on(Path::new("folder"), 7, "node", Small(Vec::new()));
    let error = (1..20).find_map(|index| store.append(&[entry(index)]).err()).expect("the disk gets full");
    assert!(matches!(error, write::Error::Full { .. }), "{error}");
    let held = &store.medium().0;
    let mut at = 0;
    while let frame::Frame::Whole(_, next) = frame::read(held, at) {
        at = next;
    }
    assert_eq!((frame::read(held, at), at), (frame::Frame::End, held.len()));
}

#[test]
fn a_failed_sync_is_fatal() {
    let mut store = Store::on(Path::new("folder"), 7, "node", Small(Vec::new()));
    assert!(matches!(store.sync(), Err(write::Error::Fatal { .. })));
}
