//! Reports for operators and other controllers, as JSON in a gRPC response.

use crate::{Samples, assert_message_format};
use lupinspur::shard::{ElasticReport, QuotaReport, QuotaRow};
use lupinspur_elastic::{Bound, pool};
use lupinspur_service_levels::gate::LOG_MARK;
use lupinspur_service_levels::{READINGS, Reading, Row, ServiceLevelReport, Subject};

const SAMPLES: Samples = Samples(include_str!("reports.txt"));

#[test]
fn quota_report() {
    let row = QuotaRow {
        level: "all.research".into(),
        depth: 2,
        team: true,
        guarantee_cpus: 1.5,
        limit_cpus: 2.5,
        used_cpus: 3.5,
        guarantee_gpus: 4.5,
        limit_gpus: 5.5,
        used_gpus: 6.5,
        lends_cpus: 7.5,
        borrows_cpus: 8.5,
        waits_cpus: 9.5,
    };
    let report = QuotaReport { generation: 7, levels: vec![row], job: Some("waits for cpus".into()) };
    assert_message_format(&SAMPLES, "quota_report", &report);
    let without_job = QuotaReport { levels: Vec::new(), job: None, ..report };
    assert_message_format(&SAMPLES, "quota_report_least", &without_job);
}

#[test]
fn elastic_report() {
    let job = pool::Row { job: "req-000412".into(), smallest: 2, largest: 12, wanted: 8, held: 10, shrinks: 1 };
    let report = ElasticReport {
        jobs: vec![job],
        times: pool::Times { shrinks: 5, under_way: 1, median_s: 1.5, p95_s: 2.5, longest_s: 3.5 },
        recent: vec![("req-000412/3".into(), 1.25)],
        bound: Bound { reachable_s: 20.5, unreachable_s: 30.5, failover_s: 40.5 },
    };
    assert_message_format(&SAMPLES, "elastic_report", &report);
}

fn row(subject: Subject, reading: Reading) -> Row {
    Row {
        subject,
        name: "train".into(),
        reading,
        asked: 8.0,
        share: Some(0.5),
        minute: Some(0.25),
        ten_minutes: Some(0.75),
        unknown: 2,
        waits_s: Some((1.5, 2.5, 3.5)),
    }
}

#[test]
fn service_level_report() {
    let least = Row { share: None, minute: None, ten_minutes: None, waits_s: None, ..row(Subject::Team, Reading::Up) };
    let rows = vec![row(Subject::Class, Reading::Started), least];
    assert_message_format(
        &SAMPLES,
        "service_level_report",
        &ServiceLevelReport { leader: 41, chain: 40, at_s: 1234.5, rows },
    );
    let read: ServiceLevelReport = serde_json::from_str(SAMPLES.named("service_level_report_least")).expect("read");
    assert_eq!(read, ServiceLevelReport::default());
}

#[test]
fn words_of_service_level_reports() {
    assert_message_format(&SAMPLES, "service_levels", &READINGS.to_vec());
    assert_message_format(&SAMPLES, "service_level_sides", &vec![Subject::Class, Subject::Team, Subject::Level]);
    assert_eq!(LOG_MARK, "service accounts: ");
}
