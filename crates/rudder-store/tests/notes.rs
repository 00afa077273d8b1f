//! Notes: recovery without a sync, the bounds of generations, and a disk that is full or fails.

use std::{
    cell::{Cell, RefCell},
    fs::{self, File},
    io,
    path::Path,
    process::Command,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crossbeam_channel::unbounded;
use rudder_replica::{Entry, Payload, Record, Snapshot};
use rudder_store::{
    Medium, Notes, Store,
    disk::{self, Job, Report},
    frame,
    notes::{self, Error, Options},
    open,
};

/// A wall-clock time at which tests begin.
const BEGIN: Duration = Duration::from_secs(1_000_000);
/// Names the folder for the process that `notes_survive_a_killed_process` starts.
const FOLDER_VARIABLE: &str = "RUDDER_STORE_TEST_FOLDER";

fn note(number: u64) -> Vec<u8> {
    format!("note {number}").into_bytes()
}

fn notes(numbers: std::ops::RangeInclusive<u64>) -> Vec<Vec<u8>> {
    numbers.map(note).collect()
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry { index, term: 1, payload: Payload::Command(vec![index as u8; 20].into()) })
}

fn open_notes(folder: &Path, now: Duration) -> notes::Outcome {
    notes::open(folder, Options::default(), now)
}

/// Appends notes to a folder and drops them without a sync.
fn write_notes(folder: &Path, now: Duration, numbers: std::ops::RangeInclusive<u64>) {
    let mut outcome = open_notes(folder, now);
    for number in numbers {
        outcome.notes.append(now, &note(number)).expect("append");
    }
}

fn folder_size(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).expect("list").map(|entry| entry.expect("list").metadata().expect("metadata"));
    entries.map(|metadata| metadata.len()).sum()
}

#[test]
fn notes_are_recovered_without_a_sync_and_appended_to() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_notes(folder.path(), BEGIN, 1..=3);
    write_notes(folder.path(), BEGIN, 4..=5);
    let outcome = open_notes(folder.path(), BEGIN);
    assert_eq!((outcome.records, outcome.cut), (notes(1..=5), 0));
    assert_eq!(outcome.notes.count(), 5);
    assert!(outcome.errors.is_empty(), "{:?}", outcome.errors);
}

#[test]
fn notes_survive_a_killed_process() {
    if let Some(folder) = std::env::var_os(FOLDER_VARIABLE) {
        write_notes(folder.as_ref(), BEGIN, 1..=100);
        std::process::abort();
    }
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut child = Command::new(std::env::current_exe().expect("the path of this test"));
    child.args(["--exact", "notes_survive_a_killed_process"]).env(FOLDER_VARIABLE, folder.path());
    assert_eq!(child.output().expect("run").status.code(), None, "the process ends by a signal");
    assert_eq!(open_notes(folder.path(), BEGIN).records, notes(1..=100));
}

#[test]
fn a_data_folder_holds_notes_beside_its_state() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut outcome = open(folder.path(), "node", 7).expect("a fresh folder");
    assert!(outcome.notes.records.is_empty());
    assert!(!folder.path().join("notes").exists(), "without notes there is no file of notes");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    outcome.store.append(&[entry(1)]).expect("append");
    outcome.notes.notes.append(now, &note(1)).expect("append");
    drop(outcome);

    let mut outcome = open(folder.path(), "node", 8).expect("a folder with notes");
    assert_eq!((outcome.id, outcome.durable.entries.len(), outcome.notes.records), (7, 1, notes(1..=1)));
    outcome.store.replace(&Snapshot::default(), &[]).expect("replace");
    assert_eq!(open(folder.path(), "node", 8).expect("a replaced state").notes.records, notes(1..=1));

    fs::remove_file(folder.path().join("notes")).expect("remove");
    let outcome = open(folder.path(), "node", 8).expect("a folder without notes");
    assert_eq!((outcome.id, outcome.notes.records.len(), outcome.notes.errors.len()), (7, 0, 0));
}

#[test]
fn every_torn_tail_keeps_the_notes_before_it() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("notes");
    write_notes(folder.path(), BEGIN, 1..=5);
    let valid = fs::read(&path).expect("read");
    let note_length = frame::HEADER_LENGTH + note(1).len();
    let start = valid.len() - 5 * note_length;
    for length in 0..valid.len() {
        fs::write(&path, &valid[..length]).expect("write");
        let mut outcome = open_notes(folder.path(), BEGIN);
        let whole = length.saturating_sub(start) / note_length;
        let end = if length < start { 0 } else { start + whole * note_length };
        assert_eq!((outcome.records, outcome.cut), (notes(1..=whole as u64), (length - end) as u64), "{length} bytes");
        outcome.notes.append(BEGIN, &note(whole as u64 + 1)).expect("append");
        drop(outcome.notes);
        let outcome = open_notes(folder.path(), BEGIN);
        assert_eq!((outcome.records, outcome.cut), (notes(1..=whole as u64 + 1), 0), "{length} bytes");
        assert!(outcome.errors.is_empty(), "{:?}", outcome.errors);
    }
}

#[test]
fn every_flipped_bit_keeps_the_notes_before_it() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("notes");
    write_notes(folder.path(), BEGIN, 1..=5);
    let valid = fs::read(&path).expect("read");
    let note_length = frame::HEADER_LENGTH + note(1).len();
    let start = valid.len() - 5 * note_length;
    for bit in 0..valid.len() * 8 {
        let mut bytes = valid.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        fs::write(&path, &bytes).expect("write");
        let outcome = open_notes(folder.path(), BEGIN);
        let whole = (bit / 8).saturating_sub(start) / note_length;
        assert_eq!(outcome.records, notes(1..=whole as u64), "bit {bit}");
        assert!(outcome.cut > 0, "bit {bit}");
    }
}

#[test]
fn a_damaged_old_generation_keeps_the_present_one() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_notes(folder.path(), BEGIN, 1..=3);
    write_notes(folder.path(), BEGIN + Options::default().max_age, 4..=6);
    let path = folder.path().join("notes-old");
    let mut bytes = fs::read(&path).expect("read");
    *bytes.last_mut().expect("a note") ^= 1;
    fs::write(&path, &bytes).expect("write");
    let outcome = open_notes(folder.path(), BEGIN + Options::default().max_age);
    assert_eq!(outcome.records, [notes(1..=2), notes(4..=6)].concat());
}

#[test]
fn an_unreadable_file_is_reported_and_does_not_stop_the_start() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    fs::create_dir(folder.path().join("notes-old")).expect("create");
    let mut outcome = open(folder.path(), "node", 7).expect("notes cause no error").notes;
    assert!(matches!(outcome.errors[..], [Error::Io { operation: "read", .. }]), "{:?}", outcome.errors);
    outcome.notes.append(BEGIN, &note(1)).expect("append");
    assert_eq!(open_notes(folder.path(), BEGIN).records, notes(1..=1));
}

#[test]
fn the_size_of_two_generations_is_bounded() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let options = Options { max_bytes: 1000, ..Options::default() };
    let mut outcome: notes::Outcome = notes::open(folder.path(), options.clone(), BEGIN);
    for number in 1..=1000 {
        outcome.notes.append(BEGIN, &note(number)).expect("append");
        let size = folder_size(folder.path());
        assert!(size <= 2000, "{size} bytes after {number} notes");
    }
    let count = outcome.notes.count();
    let outcome: notes::Outcome = notes::open(folder.path(), options, BEGIN);
    assert_eq!(outcome.records, notes(1001 - count..=1000));
    assert!(outcome.records.iter().map(Vec::len).sum::<usize>() > 300, "{count} notes");
}

#[test]
fn a_note_that_does_not_fit_is_refused_and_the_next_one_is_kept() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let options = Options { max_bytes: 100, ..Options::default() };
    let mut outcome: notes::Outcome = notes::open(folder.path(), options.clone(), BEGIN);
    let refused = (0..=100).filter(|length| outcome.notes.append(BEGIN, &vec![1; *length]).is_err());
    // The largest note leaves room for its own header and for the first frame of 20 bytes.
    assert_eq!(refused.min(), Some(100 - 20 - frame::HEADER_LENGTH + 1));
    let result = outcome.notes.append(BEGIN, &[1; 100]);
    assert!(matches!(result, Err(Error::TooLarge { length: 100, max_bytes: 100 })), "{result:?}");
    outcome.notes.append(BEGIN, &note(1)).expect("append");
    let records = notes::open::<File>(folder.path(), options, BEGIN).records;
    assert_eq!(records.last(), Some(&note(1)));
}

#[test]
fn notes_are_kept_for_the_age_of_a_generation_and_gone_after_twice_the_age() {
    let age = Options::default().max_age;
    for restarts in [false, true] {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut outcome = open_notes(folder.path(), BEGIN);
        // One note a second for five minutes.
        for second in 0..300 {
            let now = BEGIN + Duration::from_secs(second);
            if restarts {
                outcome = open_notes(folder.path(), now);
            }
            outcome.notes.append(now, &note(second)).expect("append");
            let records = open_notes(folder.path(), now).records;
            let oldest = second.saturating_sub(age.as_secs());
            assert!(records.ends_with(&notes(oldest..=second)), "after {second} s");
            assert!(records.len() as u64 <= 2 * age.as_secs(), "{} notes after {second} s", records.len());
        }
    }
}

#[test]
fn notes_do_not_come_back_after_a_long_stop() {
    let age = Options::default().max_age;
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_notes(folder.path(), BEGIN, 1..=3);
    write_notes(folder.path(), BEGIN + age, 4..=6);
    let expiry = BEGIN + age * 2;
    assert_eq!(open_notes(folder.path(), expiry.saturating_sub(Duration::from_millis(1))).records, notes(1..=6));
    assert_eq!(open_notes(folder.path(), expiry).records, notes(4..=6));
    assert!(open_notes(folder.path(), BEGIN + age * 3).records.is_empty());
    assert_eq!(folder_size(folder.path()), 0, "expired notes are removed from the disk");
}

#[test]
fn notes_of_a_clock_that_was_set_back_expire() {
    let age = Options::default().max_age;
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_notes(folder.path(), BEGIN, 1..=3);
    assert_eq!(open_notes(folder.path(), BEGIN.saturating_sub(Duration::from_secs(1))).records, notes(1..=3));
    assert!(open_notes(folder.path(), BEGIN.saturating_sub(age * 2)).records.is_empty());
}

thread_local! {
    /// Bytes that the files of [`Limited`] in this thread may still take, or the kind of error of each write.
    static SPACE: Cell<Result<usize, io::ErrorKind>> = const { Cell::new(Ok(0)) };
    /// Whether truncation fails.
    static TRUNCATION_FAILS: Cell<bool> = const { Cell::new(false) };
}

/// A file on a disk of limited space, which fills up in the middle of a write.
#[derive(Debug)]
struct Limited(File);

impl Medium for Limited {
    fn create(path: &Path) -> io::Result<Limited> {
        <File as Medium>::create(path).map(Limited)
    }

    fn reopen(path: &Path) -> io::Result<Limited> {
        File::reopen(path).map(Limited)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let available = SPACE.get()?;
        let written = bytes.len().min(available);
        self.0.append(&bytes[..written])?;
        SPACE.set(Ok(available - written));
        if written < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        if TRUNCATION_FAILS.get() {
            return Err(io::ErrorKind::Other.into());
        }
        self.0.truncate(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync()
    }
}

fn open_limited(folder: &Path) -> Notes<Limited> {
    notes::open(folder, Options::default(), BEGIN).notes
}

#[test]
fn a_full_disk_loses_only_the_notes_that_were_refused() {
    // The disk fills up at each byte of the first frame and of three notes.
    for space in 0..20 + 3 * (frame::HEADER_LENGTH + note(1).len()) {
        for truncation_fails in [false, true] {
            let folder = tempfile::tempdir().expect("a temporary folder");
            write_notes(folder.path(), BEGIN.saturating_sub(Options::default().max_age), 1..=2);
            let mut limited = open_limited(folder.path());
            SPACE.set(Ok(space));
            TRUNCATION_FAILS.set(truncation_fails);
            let mut kept = notes(1..=2);
            kept.extend((3..=5).map(note).take_while(|note| limited.append(BEGIN, note).is_ok()));
            assert!(kept.len() < 5, "the disk is full with {space} bytes");
            limited.append(BEGIN, &note(6)).expect_err("the disk is still full");
            // Where a torn record stays, a new generation begins and displaces the first two notes.
            if truncation_fails && kept.len() > 2 {
                kept.drain(..2);
            }
            assert_eq!(open_notes(folder.path(), BEGIN).records, kept, "{space} bytes, {truncation_fails}");
            SPACE.set(Ok(1000));
            TRUNCATION_FAILS.set(false);
            limited.append(BEGIN, &note(7)).expect("space was freed");
            kept.push(note(7));
            assert_eq!(limited.count(), kept.len() as u64);
            assert_eq!(open_notes(folder.path(), BEGIN).records, kept, "{space} bytes, {truncation_fails}");
        }
    }
}

/// Executes `jobs` with notes on a [`Limited`] disk, and returns the reports.
fn run_jobs(folder: &Path, waiting: Vec<Job>) -> Vec<Report> {
    let (sender, jobs) = unbounded();
    for job in waiting {
        sender.send(job).expect("a receiver");
    }
    drop(sender);
    let store = open(folder, "node", 7).expect("a valid folder").store;
    let reports = RefCell::new(Vec::new());
    disk::run(store, open_limited(folder), &jobs, |report| {
        reports.borrow_mut().push(report);
        true
    });
    reports.into_inner()
}

#[test]
fn a_disk_that_refuses_notes_is_reported_once_and_the_log_still_saves() {
    for kind in [io::ErrorKind::StorageFull, io::ErrorKind::Other, io::ErrorKind::ReadOnlyFilesystem] {
        let folder = tempfile::tempdir().expect("a temporary folder");
        SPACE.set(Err(kind));
        let mut jobs: Vec<Job> = (1..=50).map(|number| Job::Note(note(number))).collect();
        jobs.insert(10, Job::Append(1, vec![entry(1)]));
        jobs.push(Job::Append(2, vec![entry(2)]));
        let reports = run_jobs(folder.path(), jobs);
        assert_eq!(reports, [Report::Saved(2), Report::NotesLost(1)]);
        assert_eq!(open(folder.path(), "node", 8).expect("a valid folder").durable.entries.len(), 2);
    }
}

#[test]
fn notes_that_are_written_again_are_reported_with_the_number_lost() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    SPACE.set(Err(io::ErrorKind::StorageFull));
    let store = open(folder.path(), "node", 7).expect("a fresh folder").store;
    let (sender, jobs) = unbounded();
    let send_notes = |count| (0..count).for_each(|number| sender.send(Job::Note(note(number))).expect("a receiver"));
    send_notes(3);
    sender.send(Job::Append(1, vec![entry(1)])).expect("a receiver");
    let reports = RefCell::new(Vec::new());
    disk::run(store, open_limited(folder.path()), &jobs, |report| {
        reports.borrow_mut().push(report);
        match report {
            Report::NotesLost(_) => sender.send(Job::Append(2, vec![entry(2)])).expect("a receiver"),
            Report::Saved(2) => {
                SPACE.set(Ok(1000));
                send_notes(2);
            }
            _ => {}
        }
        !matches!(report, Report::NotesResumed(_))
    });
    let expected = [Report::Saved(1), Report::NotesLost(1), Report::Saved(2), Report::NotesResumed(2)];
    assert_eq!(reports.into_inner(), expected);
}

#[test]
fn saves_do_not_wait_for_many_notes() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    SPACE.set(Ok(usize::MAX));
    let store = open(folder.path(), "node", 7).expect("a fresh folder").store;
    let (sender, jobs) = unbounded();
    let send_save = |number| sender.send(Job::Append(number, vec![entry(number)])).expect("a receiver");
    for number in 1..=10_000 {
        sender.send(Job::Note(note(number))).expect("a receiver");
    }
    send_save(1);
    let written = RefCell::new(Vec::new());
    disk::run(store, open_limited(folder.path()), &jobs, |report| {
        let Report::Saved(number) = report else { panic!("{report:?}") };
        written.borrow_mut().push(notes::open::<File>(folder.path(), Options::default(), wall_clock()).records.len());
        // A save that arrives while the notes are being written.
        send_save(number + 1);
        number < 10
    });
    let written = written.into_inner();
    assert_eq!(written[0], 0, "no note is written before a save that waits");
    let most = written.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(most.is_some_and(|most| (1..=64).contains(&most)), "notes written before each save: {written:?}");
}

#[test]
fn waiting_notes_are_written_in_order_after_the_channel_is_disconnected() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    SPACE.set(Ok(usize::MAX));
    let reports = run_jobs(folder.path(), (1..=1000).map(|number| Job::Note(note(number))).collect());
    assert!(reports.is_empty(), "{reports:?}");
    let outcome: notes::Outcome = notes::open(folder.path(), Options::default(), wall_clock());
    assert_eq!(outcome.records, notes(1..=1000));
}

#[test]
fn notes_make_room_for_the_log() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write_notes(folder.path(), BEGIN, 1..=5);
    let path = folder.path().join("log");
    let store = Store::with_medium(folder.path(), 7, "node", <Limited as Medium>::create(&path).expect("create"));
    let (sender, jobs) = unbounded();
    sender.send(Job::Append(1, vec![entry(1)])).expect("a receiver");
    SPACE.set(Ok(10));
    let reports = RefCell::new(Vec::new());
    disk::run(store, open_limited(folder.path()), &jobs, |report| {
        reports.borrow_mut().push(report);
        match report {
            Report::Full => {
                assert_eq!(open_notes(folder.path(), BEGIN).records.len(), 5);
                // Notes that arrive while the log waits are lost, and a save is kept.
                sender.send(Job::Note(note(6))).expect("a receiver");
                sender.send(Job::Append(2, vec![entry(2)])).expect("a receiver");
            }
            Report::NotesLost(_) => {
                assert!(!folder.path().join("notes").exists());
                SPACE.set(Ok(1000));
            }
            Report::Saved(2) => sender.send(Job::Note(note(7))).expect("a receiver"),
            _ => {}
        }
        !matches!(report, Report::NotesResumed(_))
    });
    let expected = [Report::Full, Report::NotesLost(5), Report::Saved(1), Report::Saved(2), Report::NotesResumed(1)];
    assert_eq!(reports.into_inner(), expected);
    assert_eq!(notes::open::<File>(folder.path(), Options::default(), wall_clock()).records, notes(7..=7));
}

fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970")
}
