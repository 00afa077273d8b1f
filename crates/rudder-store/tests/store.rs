//! Recovery from torn writes, corruption, an emptied data folder and a full disk.

use std::{fs, io, path::Path};

use rudder_model::InstanceId;
use rudder_replica::{Entry, Payload, Record, Snapshot};
use rudder_store::{Medium, Store, frame, open, open::Error, open_as_founder, write};

fn entry(index: u64) -> Record {
    Record::Entry(Entry { index, term: 1, payload: Payload::Command(vec![index as u8; 20].into()) })
}

/// Writes a data folder with `count` entries after an empty snapshot.
fn write_entries(folder: &Path, count: u64) {
    let mut store = open(folder, "node", 7).expect("a fresh folder").store;
    store.append(&[Record::Hard { term: 3, vote: Some(9) }]).expect("append");
    for index in 1..=count {
        store.append(&[entry(index)]).expect("append");
    }
    store.sync().expect("sync");
}

fn state_path(folder: &Path) -> std::path::PathBuf {
    folder.join("state-1")
}

macro_rules! folder_tests {
    ($($(#[$doc:meta])* $name:ident: |$folder:ident| $body:block)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let temporary = tempfile::tempdir().expect("a temporary folder");
            let $folder = temporary.path();
            $body
        })*
    };
}

folder_tests! {
    saved_records_are_recovered: |folder| {
        write_entries(folder, 5);
        let outcome = open(folder, "node", 8).expect("a valid folder");
        assert_eq!((outcome.id, outcome.cut), (7, 0));
        assert_eq!((outcome.durable.term, outcome.durable.vote), (3, Some(9)));
        assert_eq!(outcome.durable.entries.len(), 5);
    }

    a_torn_tail_is_truncated_and_appends_continue: |folder| {
        write_entries(folder, 5);
        let bytes = fs::read(state_path(folder)).expect("read");
        fs::write(state_path(folder), &bytes[..bytes.len() - 7]).expect("write");
        let mut outcome = open(folder, "node", 8).expect("a torn tail is not corruption");
        assert!(outcome.cut > 0);
        assert_eq!(outcome.durable.entries.len(), 4);
        outcome.store.append(&[entry(5)]).expect("append");
        outcome.store.sync().expect("sync");
        assert_eq!(open(folder, "node", 8).expect("valid after the append").durable.entries.len(), 5);
    }

    a_tail_of_zeros_is_truncated: |folder| {
        write_entries(folder, 3);
        let mut bytes = fs::read(state_path(folder)).expect("read");
        bytes.extend([0; 64]);
        fs::write(state_path(folder), &bytes).expect("write");
        let outcome = open(folder, "node", 8).expect("a tail of zeros is an incomplete write");
        assert_eq!((outcome.cut, outcome.durable.entries.len()), (64, 3));
    }

    a_flipped_bit_is_reported_as_corruption: |folder| {
        write_entries(folder, 3);
        let valid = fs::read(state_path(folder)).expect("read");
        for offset in (0..valid.len()).step_by(3) {
            let mut bytes = valid.clone();
            bytes[offset] ^= 0x10;
            fs::write(state_path(folder), &bytes).expect("write");
            let result = open(folder, "node", 8);
            assert!(matches!(result, Err(Error::Corrupt { .. })), "byte {offset}: {result:?}");
        }
    }

    an_emptied_folder_is_a_new_replica: |folder| {
        write_entries(folder, 3);
        fs::remove_file(state_path(folder)).expect("remove");
        let outcome = open(folder, "node", 8).expect("an empty folder");
        assert_eq!((outcome.id, outcome.durable.term, outcome.durable.entries.len()), (8, 0, 0));
    }

    /// Guards against a founder that was killed before there was a log and has forgotten at its next start what it was for.
    founders_are_recorded_until_there_is_a_log: |folder| {
        let founders = ["node", "other"].map(InstanceId::from);
        assert_eq!(open_as_founder(folder, "node", 7, &founders).expect("a fresh folder").durable.founders, founders);
        let mut outcome = open(folder, "node", 8).expect("a valid folder");
        assert_eq!((outcome.id, outcome.durable.founders.as_slice()), (7, founders.as_slice()));
        let snapshot = Snapshot { index: 1, term: 1, ..Snapshot::default() };
        outcome.store.replace(&snapshot, &[]).expect("replace");
        let durable = open_as_founder(folder, "node", 8, &founders).expect("a valid folder").durable;
        assert_eq!((durable.snapshot.index, durable.founders.len()), (1, 0));
    }

    a_folder_without_a_log_takes_new_founders: |folder| {
        for names in [&["node"][..], &["node", "other"]] {
            let founders: Vec<InstanceId> = names.iter().map(|&name| name.into()).collect();
            open_as_founder(folder, "node", 7, &founders).expect("a valid folder");
            assert_eq!(open(folder, "node", 8).expect("a valid folder").durable.founders, founders);
        }
    }

    an_emptied_folder_has_no_founders: |folder| {
        open_as_founder(folder, "node", 7, &["node".into()]).expect("a fresh folder");
        fs::remove_file(state_path(folder)).expect("remove");
        assert!(open(folder, "node", 8).expect("an empty folder").durable.founders.is_empty());
    }

    a_folder_of_another_instance_is_refused: |folder| {
        write_entries(folder, 1);
        assert!(matches!(open(folder, "other", 8), Err(Error::OtherOwner { .. })));
    }

    a_snapshot_replaces_the_state_file: |folder| {
        let mut store = open(folder, "node", 7).expect("a fresh folder").store;
        store.append(&[entry(1), entry(2)]).expect("append");
        let snapshot = Snapshot { index: 2, term: 1, ..Snapshot::default() };
        store.replace(&snapshot, &[Record::Hard { term: 4, vote: None }, entry(3)]).expect("replace");
        assert!(!state_path(folder).exists());
        let durable = open(folder, "node", 8).expect("a valid folder").durable;
        assert_eq!((durable.snapshot.index, durable.term, durable.entries.len()), (2, 4, 1));
    }

    a_crash_before_the_rename_leaves_the_old_file: |folder| {
        write_entries(folder, 2);
        fs::write(folder.join("draft"), b"half a snapsh").expect("write");
        assert_eq!(open(folder, "node", 8).expect("a valid folder").durable.entries.len(), 2);
    }
}

/// A disk with a capacity of 200 bytes that fills up in the middle of a write and fails every sync.
struct SmallDisk(Vec<u8>);

impl Medium for SmallDisk {
    fn create(_: &Path) -> io::Result<SmallDisk> {
        Ok(SmallDisk(Vec::new()))
    }

    fn reopen(_: &Path) -> io::Result<SmallDisk> {
        Ok(SmallDisk(Vec::new()))
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let available = 200_usize.saturating_sub(self.0.len());
        self.0.extend(&bytes[..bytes.len().min(available)]);
        if bytes.len() > available { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::Other.into())
    }
}

#[test]
fn a_full_disk_leaves_no_part_of_a_record_behind() {
    let mut store = Store::with_medium(Path::new("folder"), 7, "node", SmallDisk(Vec::new()));
    let error = (1..20).find_map(|index| store.append(&[entry(index)]).err()).expect("the disk is full");
    assert!(matches!(error, write::Error::Full { .. }), "{error}");
    let content = &store.medium().0;
    let mut offset = 0;
    while let frame::Frame::Complete(_, next) = frame::read(content, offset) {
        offset = next;
    }
    assert_eq!((frame::read(content, offset), offset), (frame::Frame::End, content.len()));
}

#[test]
fn a_failed_sync_is_fatal() {
    let mut store = Store::with_medium(Path::new("folder"), 7, "node", SmallDisk(Vec::new()));
    assert!(matches!(store.sync(), Err(write::Error::Fatal { .. })));
}
