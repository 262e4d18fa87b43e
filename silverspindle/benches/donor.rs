//! What a donor's thread is held up by when it is asked: its report taken in, its answer spelt. All else of an
//! answer goes out in chunks between its clients' work.
#![allow(missing_docs)]

use bitternhold::{Lifecycle, Member, MemberId, MemberReport, Report, Settings};
use criterion::{Criterion, criterion_group, criterion_main};
use silverspindle::feed::ListEntry;
use silverspindle::knowledge::Knowledge;
use silverspindle_conf::Conf;
use silverspindle_knowledge::protocol;

fn donor(members: u64) -> (Knowledge, Report) {
    let mut knowledge = Knowledge::new("n0", Conf::default().half_lives, &Settings::default());
    let listed = |id| ListEntry {
        member: Member { id: MemberId(id), lifecycle: Lifecycle::Ready, ..Member::default() },
        address: ([127, 0, 0, 1], 1).into(),
    };
    knowledge.listed(true, &(0..members).map(listed).collect::<Vec<_>>());
    knowledge.heard();
    let seen = |n: u64| (0..4096u64).map(|i| (i + n).wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    let member =
        |id| MemberReport { id: MemberId(id), attempts_ended: 9, limit: 30.0, ..MemberReport::default() };
    let report = Report {
        members: (0..members).map(member).collect(),
        fills: [(30.0, 0.1), (9.0, 0.2)],
        warm_rate: [3.0, 1.0],
        seen_ids: [seen(0), seen(9000)],
    };
    (knowledge, report)
}

fn asked(c: &mut Criterion) {
    for members in [10, 100, 1000] {
        let (mut knowledge, report) = donor(members);
        let (count, frames) = protocol::answer(knowledge.give(report.clone()), protocol::MOST_TRANSFER);
        let bytes: usize = frames.iter().map(Vec::len).sum();
        println!("{members} members: {count} items in {bytes} bytes");
        c.bench_function(&format!("asked, {members} members"), |b| {
            b.iter(|| protocol::answer(knowledge.give(report.clone()), protocol::MOST_TRANSFER).0);
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(1));
    targets = asked
}
criterion_main!(benches);
