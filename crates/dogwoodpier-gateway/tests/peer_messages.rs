//! Encoding of messages between instances: each decodes to itself, and nothing else decodes.

use proptest::prelude::*;

use dogwoodpier_core::gateway::cold_upstreams::ReportedCold;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::speed::ObservedSpeed;
use dogwoodpier_core::gateway::speed::StatedLoad;
use dogwoodpier_core::gateway::speed_samples::SpeedSample;
use dogwoodpier_core::gateway::store_position::StorePosition;
use dogwoodpier_core::gateway::upstream_limits::ReportedLimit;
use dogwoodpier_core::quarantine::PartAnswer;
use dogwoodpier_core::quarantine::PartCrash;
use dogwoodpier_gateway::broker::EngineFailure;
use dogwoodpier_gateway::broker::PlacementAnswer;
use dogwoodpier_gateway::broker::PlacementVerdict;
use dogwoodpier_gateway::codec;
use dogwoodpier_gateway::codec::CodecError;
use dogwoodpier_gateway::cold::ColdReport;
use dogwoodpier_gateway::peer_messages::LimitReport;
use dogwoodpier_gateway::peer_messages::Message;
use dogwoodpier_gateway::permits::PermitAnswer;
use dogwoodpier_gateway::permits::PermitNotice;
use dogwoodpier_gateway::permits::PermitRequest;
use dogwoodpier_gateway::prompt_parts::PartReport;
use dogwoodpier_gateway::quota::QuotaAnswer;
use dogwoodpier_gateway::quota::QuotaRequest;
use dogwoodpier_gateway::upstream_speeds::SpeedReport;

// Largest report of an instance that serves a few requests: reports are single datagrams, many a
// second from each of hundreds of peers.
const MAX_REPORT_BYTES: usize = 250;

fn report(engines: usize) -> Message {
    let load = UpstreamLoad {
        requests: 3,
        prefill_tokens: 4_000,
        kv_tokens: 16_000,
    };
    let engine = |number: usize| format!("i-{number:08x}").into();
    Message::Report(Report {
        instance: "front-zg-a-17".into(),
        incarnation: u64::MAX,
        sequence: 100_000,
        capacity: 1.0,
        leaving: false,
        uses: (0..engines).map(|number| (engine(number), load)).collect(),
        uses_valid_ms: 1_000,
        tickets: (0..engines)
            .map(|number| (engine(number), vec![u64::MAX; 3]))
            .collect(),
        down_for_ms: [(engine(90), 300)].into(),
        leaving_upstreams: [(engine(91), Some(1_700_000_000_000))].into(),
        seen_revisions: [
            ("servers".into(), StorePosition::new(1, 12_345)),
            ("config".into(), StorePosition::new(1, 12_300)),
        ]
        .into(),
        suspects: Vec::new(),
        evacuations: Default::default(),
    })
}

fn limits() -> Message {
    let reported = ReportedLimit {
        started_unix_ms: Some(1_700_000_000_000),
        limit_per_s: Some(4.7),
        age_ms: 250,
    };
    Message::Limits(LimitReport {
        instance: "front-zg-a-17".into(),
        limits: [("i-00000001".into(), reported)].into(),
    })
}

fn parts() -> Message {
    let crash = PartCrash {
        crash_id: u64::MAX,
        fingerprint: 7,
        parts: vec![0xf1, 0xba5e],
        ago_ms: 250,
    };
    let answer = PartAnswer {
        part: 0xf1,
        ago_ms: 0,
    };
    Message::Parts(PartReport {
        crashes: vec![crash],
        answers: vec![answer],
    })
}

fn speeds(samples: usize) -> Message {
    let sample = |number: usize| SpeedSample {
        upstream: format!("i-{number:08x}").into(),
        stated: Some(StatedLoad {
            running: 12,
            waiting: 3,
            slots: 12,
            slowness: Some(2.5),
        }),
        age_ms: 1_800,
        observed: Some(ObservedSpeed {
            unit_ms: 23.7,
            slowness: Some(2.5),
            count: 7,
        }),
    };
    Message::Speeds(SpeedReport {
        service: "svc-chat".into(),
        samples: (0..samples).map(sample).collect(),
    })
}

fn messages() -> Vec<Message> {
    let reported = ReportedCold {
        started_unix_ms: Some(1_700_000_000_000),
        remaining_ms: 2_900,
        age_ms: 15,
    };
    vec![
        speeds(2),
        report(2),
        parts(),
        Message::UnstoredConfiguration(u64::MAX),
        limits(),
        Message::PermitAsk(PermitRequest {
            ticket: 10,
            upstream: "i-1".into(),
            limit_per_s: 4.7,
            max_wait_ms: 240,
        }),
        Message::PermitNotice(PermitNotice {
            upstream: "i-1".into(),
            limit_per_s: 4.7,
        }),
        Message::PermitAnswer(PermitAnswer {
            ticket: 10,
            decision: PermitDecision::Granted { wait_ms: 120 },
        }),
        Message::Answer(PlacementAnswer {
            ticket: 7,
            verdict: PlacementVerdict::Granted {
                decode: "i-1".into(),
                prefill: None,
            },
        }),
        Message::QuotaAsk(QuotaRequest {
            ticket: 8,
            workspace: "firm".into(),
            units: 5_300,
            has_room: true,
        }),
        Message::QuotaAnswer(QuotaAnswer {
            ticket: 8,
            workspace: "firm".into(),
            units: 5_300,
            decision: Decision::Rejected {
                retry_after_ms: 400,
                level: -70_000,
            },
        }),
        Message::Withdraw {
            instance: "front-1".into(),
            ticket: 9,
        },
        Message::EngineFailure(EngineFailure {
            upstream: "i-1".into(),
        }),
        Message::QuotaRepeat(QuotaAnswer {
            ticket: 8,
            workspace: "firm".into(),
            units: 5_300,
            decision: Decision::Admitted,
        }),
        Message::Cold(ColdReport {
            instance: "front-1".into(),
            upstreams: [("i-1".into(), reported)].into(),
        }),
    ]
}

#[test]
fn messages_round_trip() {
    for message in messages() {
        let bytes = codec::encode(&message).unwrap();
        assert_eq!(codec::decode(&bytes), Ok(message));
    }
}

#[test]
fn report_stays_below_size_limit() {
    let bytes = codec::encode(&report(2)).unwrap();
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{} bytes", bytes.len());
}

// Brokers receive twenty of them a second, next to a hundred reports.
#[test]
fn largest_speed_report_stays_below_size_limit() {
    let bytes = codec::encode(&speeds(8)).unwrap();
    assert!(bytes.len() <= 400, "{} bytes", bytes.len());
}

// Instances of an earlier build know the variants before it by their position.
#[test]
fn speed_report_is_the_last_variant() {
    assert_eq!(codec::encode(&speeds(1)).unwrap()[1], 17);
    let version = codec::encode(&Message::UnstoredConfiguration(7)).unwrap();
    assert_eq!(version, [2, 14, 7]);
}

#[test]
fn other_versions_are_rejected() {
    let mut bytes = codec::encode(&messages()[0]).unwrap();
    bytes[0] += 1;
    assert_eq!(
        codec::decode(&bytes),
        Err(CodecError::Version { found: bytes[0] })
    );
    assert_eq!(codec::decode(&[]), Err(CodecError::Empty));
    // A message from an instance that predates the binary encoding.
    assert!(codec::decode(br#"{"Report":{"instance":"front-1"}}"#).is_err());
}

#[test]
fn truncated_or_extended_messages_are_rejected() {
    for message in messages() {
        let mut bytes = codec::encode(&message).unwrap();
        for length in 0..bytes.len() {
            assert!(
                codec::decode(&bytes[..length]).is_err(),
                "{message:?} cut to {length}"
            );
        }
        bytes.push(0);
        assert_eq!(codec::decode(&bytes), Err(CodecError::Rest { count: 1 }));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::with_cases(2_000) })]

    // Arbitrary bytes are either decoded or rejected, without a panic and without an allocation
    // larger than the input.
    #[test]
    fn arbitrary_bytes_do_not_panic(
        which in 0_usize..messages().len(),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = codec::encode(&messages()[which]).unwrap();
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        let _ = codec::decode(&bytes);
        let _ = codec::decode(&noise);
    }
}
