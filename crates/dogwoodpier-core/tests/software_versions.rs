//! Guards against streams that go on at another software version than the one that began them.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::software_versions::DefaultVersion;
use dogwoodpier_core::gateway::software_versions::RecordedVersions;
use dogwoodpier_core::gateway::software_versions::SeenVersions;
use dogwoodpier_core::gateway::software_versions::Unproven;
use dogwoodpier_core::gateway::software_versions::largest_version;
use dogwoodpier_core::gateway::software_versions::prove_default;

const LIFE_MS: u64 = 10_000;
const SERVICE: &str = "engines";
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

fn observe(seen: &mut SeenVersions, versions: &[&str], now_ms: u64) {
    let service: Arc<str> = SERVICE.into();
    let versions: Vec<Arc<str>> = versions.iter().map(|version| (*version).into()).collect();
    let engines = versions.iter().map(|version| (&service, version));
    seen.observe(engines, TimeMs(now_ms));
}

fn slots(versions: &[&str]) -> BTreeMap<Arc<str>, u32> {
    versions
        .iter()
        .map(|version| ((*version).into(), 8))
        .collect()
}

#[test]
fn presence_ends_with_the_last_engine() {
    let mut seen = SeenVersions::default();
    observe(&mut seen, &["v1", "v2"], 1_000);
    observe(&mut seen, &["v2"], 2_000);
    observe(&mut seen, &["v1", "v2"], 3_000);
    assert!(seen.is_present_since(SERVICE, "v2", TimeMs(1_500)));
    assert!(!seen.is_present_since(SERVICE, "v1", TimeMs(1_500)));
    assert!(seen.is_present(SERVICE, "v1"));
    assert!(!seen.is_present(SERVICE, "v3"));
}

#[test]
fn default_changes_after_a_stream_life_without_engines() {
    let mut seen = SeenVersions::default();
    let next = |seen: &SeenVersions, now_ms| {
        let now = TimeMs(now_ms);
        seen.next_default(SERVICE, "v1", &slots(&["v2"]), LIFE_MS, now)
    };
    observe(&mut seen, &["v1", "v2"], 1_000);
    observe(&mut seen, &["v2"], 2_000);
    assert_eq!(next(&seen, 10_000), None);
    assert_eq!(next(&seen, 11_000).as_deref(), Some("v2"));
    // An instance that has just started has not seen the default version leave.
    let mut started = SeenVersions::default();
    observe(&mut started, &["v2"], 11_000);
    assert_eq!(next(&started, 12_000), None);
}

// An instance that stood still may have missed that a version left, and that another became the default.
#[test]
fn standstill_ends_the_presence_that_was_seen() {
    let mut seen = SeenVersions::default();
    observe(&mut seen, &["v1"], 1_000);
    observe(&mut seen, &["v1"], 1_250);
    assert!(seen.is_present_since(SERVICE, "v1", TimeMs(1_100)));
    observe(&mut seen, &["v1"], 6_000);
    assert!(seen.is_present(SERVICE, "v1"));
    assert!(!seen.is_present_since(SERVICE, "v1", TimeMs(1_100)));
    assert_eq!(seen.absent_ms(SERVICE, "v2", TimeMs(7_000)), 1_000);
}

#[test]
fn unrecorded_stream_is_unknown_in_another_era() {
    let default = DefaultVersion {
        version: "v1".into(),
        recorded_era: Some(3),
    };
    assert_eq!(
        default.of_unrecorded(3).map(|version| &**version),
        Some("v1")
    );
    assert_eq!(default.of_unrecorded(4), None);
}

/// A step of a fleet whose instances learn of changes of the engines at different times.
#[derive(Clone, Debug)]
enum Step {
    /// Engines of a version join or leave.
    Change { version: usize },
    /// An instance learns of all changes until now.
    Read { instance: usize },
    /// A stream begins at an instance, at one of the versions that it knows.
    Begin { instance: usize, choice: usize },
    /// An instance is asked to resume the streams that have begun.
    Resume { instance: usize },
    /// An instance is killed and starts again.
    Restart { instance: usize },
    /// An instance changes the default version if it is due.
    Maintain { instance: usize },
    /// Time passes.
    Wait { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = 0..INSTANCES;
    let step = prop_oneof![
        (0..VERSIONS.len()).prop_map(|version| Step::Change { version }),
        instance
            .clone()
            .prop_map(|instance| Step::Read { instance }),
        (instance.clone(), 0..VERSIONS.len())
            .prop_map(|(instance, choice)| Step::Begin { instance, choice }),
        instance
            .clone()
            .prop_map(|instance| Step::Resume { instance }),
        instance
            .clone()
            .prop_map(|instance| Step::Restart { instance }),
        instance.prop_map(|instance| Step::Maintain { instance }),
        (100_u64..4_000).prop_map(|ms| Step::Wait { ms }),
    ];
    prop::collection::vec(step, 1..120)
}

const INSTANCES: usize = 3;
// Longest time for which an instance's view of the entries may be old.
const LAG_MS: u64 = 2_000;

#[derive(Default)]
struct Instance {
    seen: SeenVersions,
    view: BTreeSet<&'static str>,
    // Versions that have joined since the last read, and may have left again.
    joined: BTreeSet<&'static str>,
    read_ms: u64,
    // Default version and the time at which it was read.
    default: Option<(Arc<str>, u64)>,
}

struct Stream {
    version: &'static str,
    begun_ms: u64,
    is_recorded: bool,
}

struct Fleet {
    now_ms: u64,
    engines: BTreeSet<&'static str>,
    default: Arc<str>,
    instances: Vec<Instance>,
    streams: Vec<Stream>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            engines: BTreeSet::from(["v1"]),
            default: "v1".into(),
            instances: Vec::new(),
            streams: Vec::new(),
        };
        fleet.instances.resize_with(INSTANCES, Instance::default);
        for instance in 0..INSTANCES {
            fleet.read(instance);
        }
        fleet
    }

    fn read(&mut self, instance: usize) {
        let view: Vec<&str> = self.engines.iter().copied().collect();
        let now_ms = self.now_ms;
        let instance = &mut self.instances[instance];
        let joined: Vec<&str> = instance.view.union(&instance.joined).copied().collect();
        instance.joined.clear();
        observe(&mut instance.seen, &joined, now_ms);
        observe(&mut instance.seen, &view, now_ms);
        instance.view = self.engines.clone();
        instance.read_ms = now_ms;
    }

    // Returns the default version as an instance knows it: read anew once its engines have left.
    fn known_default(&mut self, instance: usize) -> Arc<str> {
        let stored = self.default.clone();
        let now_ms = self.now_ms;
        let instance = &mut self.instances[instance];
        let trusted = instance.default.as_ref().filter(|(version, read_ms)| {
            instance
                .seen
                .is_present_since(SERVICE, version, TimeMs(*read_ms))
        });
        match trusted {
            Some((version, _)) => version.clone(),
            None => {
                instance.default = Some((stored.clone(), now_ms));
                stored
            }
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Change { version } => {
                let version = VERSIONS[version];
                if self.engines.len() > 1 && self.engines.remove(version) {
                    return;
                }
                self.engines.insert(version);
                for instance in &mut self.instances {
                    instance.joined.insert(version);
                }
            }
            Step::Read { instance } => self.read(instance),
            Step::Begin { instance, choice } => {
                let view = &self.instances[instance].view;
                let Some(version) = view.iter().copied().nth(choice) else {
                    return;
                };
                let is_recorded = *self.known_default(instance) != *version;
                self.streams.push(Stream {
                    version,
                    begun_ms: self.now_ms,
                    is_recorded,
                });
            }
            Step::Resume { instance } => self.resume(instance),
            Step::Restart { instance } => {
                self.instances[instance] = Instance::default();
                self.read(instance);
            }
            Step::Maintain { instance } => {
                self.read(instance);
                let versions: Vec<&str> = self.engines.iter().copied().collect();
                let slots = slots(&versions);
                assert!(largest_version(&slots).is_some());
                let seen = &self.instances[instance].seen;
                // Other instances may still use engines that this one no longer sees.
                let life_ms = LIFE_MS + 2 * LAG_MS;
                let now = TimeMs(self.now_ms);
                let next = seen.next_default(SERVICE, &self.default, &slots, life_ms, now);
                if let Some(next) = next {
                    for stream in &mut self.streams {
                        stream.is_recorded &= *stream.version != *next;
                    }
                    self.default = next;
                }
            }
            Step::Wait { ms } => {
                self.now_ms += ms;
                for instance in 0..INSTANCES {
                    if self.now_ms - self.instances[instance].read_ms > LAG_MS {
                        self.read(instance);
                    }
                }
            }
        }
    }

    // Checks that no stream that may still be resumed is taken for one of another version that has
    // engines.
    fn resume(&mut self, instance: usize) {
        let default = self.known_default(instance);
        let now_ms = self.now_ms;
        for stream in &self.streams {
            if now_ms - stream.begun_ms >= LIFE_MS - LAG_MS {
                continue;
            }
            let found = match stream.is_recorded {
                true => stream.version,
                false => &*default,
            };
            let is_wrong = found != stream.version && self.engines.contains(found);
            assert!(
                !is_wrong,
                "{} is taken for {found}, default {}",
                stream.version, self.default
            );
        }
        self.resume_unnamed(instance);
    }

    // Checks the same for streams whose first attempt isn't named, by a listing of all records.
    fn resume_unnamed(&self, instance: usize) {
        let view: Vec<&str> = self.instances[instance].view.iter().copied().collect();
        let listed = self.streams.iter().filter(|stream| stream.is_recorded);
        let listed: Vec<&str> = listed.map(|stream| stream.version).collect();
        let default = DefaultVersion {
            version: self.default.clone(),
            recorded_era: Some(1),
        };
        let proven = prove_default(SERVICE, &slots(&view), &recorded(1, &listed), &default, 1);
        let Ok(found) = proven else { return };
        for stream in &self.streams {
            let may_be_resumed = self.now_ms - stream.begun_ms < LIFE_MS - LAG_MS;
            let is_wrong = *stream.version != *found && self.engines.contains(&*found);
            assert!(
                !(may_be_resumed && is_wrong),
                "{} is taken for {found}",
                stream.version
            );
        }
    }
}

proptest! {
    #![proptest_config(common::config(0x7665_7273, 512))]
    #[test]
    fn streams_resume_at_their_version_or_not_at_all(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
        }
        for instance in 0..INSTANCES {
            fleet.resume(instance);
        }
    }
}

// Streams of a version that served for a while without a record must not pass for ones of the version
// that is there again.
#[test]
fn versions_that_have_left_are_remembered() {
    let mut seen = SeenVersions::default();
    observe(&mut seen, &["v1"], 1_000);
    observe(&mut seen, &["v2"], 1_500);
    observe(&mut seen, &["v1"], 2_000);
    assert!(seen.has_seen_others(SERVICE, "v1", TimeMs(1_500)));
    assert!(!seen.has_seen_others(SERVICE, "v1", TimeMs(1_501)));
    assert!(!seen.has_seen_others("others", "v1", TimeMs(0)));
}

fn recorded(era: u64, versions: &[&str]) -> RecordedVersions {
    let versions = versions.iter().map(|version| (*version).into()).collect();
    RecordedVersions {
        era,
        versions: BTreeMap::from([(SERVICE.into(), versions)]),
        unreadable: 0,
    }
}

// A client resumes a stream without naming the attempt that began it. It must not go on at the default
// version while anything allows another one.
#[test]
fn unnamed_stream_is_proven_only_without_records_of_others() {
    let default = DefaultVersion {
        version: "v1".into(),
        recorded_era: Some(3),
    };
    let prove = |engines: &[&str], recorded: &RecordedVersions, era| {
        prove_default(SERVICE, &slots(engines), recorded, &default, era)
    };
    let none = recorded(3, &[]);
    assert_eq!(prove(&["v1"], &none, 3).as_deref(), Ok("v1"));
    // A record of the default version is needless, as after a change of the default.
    assert!(prove(&["v1"], &recorded(3, &["v1"]), 3).is_ok());
    let of_another = RecordedVersions {
        versions: BTreeMap::from([("others".into(), BTreeSet::from(["v2".into()]))]),
        ..none.clone()
    };
    assert!(prove(&["v1"], &of_another, 3).is_ok());
    let unreadable = RecordedVersions {
        unreadable: 1,
        ..none.clone()
    };
    let failures = [
        (prove(&["v1", "v2"], &none, 3), Unproven::SeveralVersions),
        (prove(&[], &none, 3), Unproven::SeveralVersions),
        (prove(&["v2"], &none, 3), Unproven::DefaultDiffers),
        (
            prove(&["v1"], &recorded(3, &["v1", "v2"]), 3),
            Unproven::OthersRecorded,
        ),
        (prove(&["v1"], &unreadable, 3), Unproven::OthersRecorded),
        // The listing is of the era before, or the default version was stored in it.
        (prove(&["v1"], &recorded(2, &[]), 3), Unproven::Restored),
        (prove(&["v1"], &recorded(4, &[]), 4), Unproven::Restored),
    ];
    for (result, reason) in failures {
        assert_eq!(result, Err(reason));
    }
}
