//! `fleet purge status`: when a number is done everywhere, and when that is not known.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::office::*;
use common::relays::*;
use common::*;
use silverspindle::distribution::staff::{Progress, Staff};
use silverspindle_relay::{Lagging, Status as Word, Summary};

/// `fleet purge status 2` with this file of staff's: exit code and what it says.
async fn program(office: &KeyFolder, sources: &str) -> (i32, serde_json::Value) {
    let files = office.files("n3");
    let text = format!(
        "exchange-authority '{}'\nexchange-certificate '{}'\nexchange-key '{}'\n{sources}\n",
        files.authority.display(),
        files.certificate.display(),
        files.key.display()
    );
    let file = office.0.join("staff.conf");
    std::fs::write(&file, text).unwrap();
    // The routers that it asks run on this thread.
    let (tell, told) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_silverspindle"));
        command.args(["fleet", "--json", "purge", "status", "2", "--conf"]).arg(file);
        let _ = tell.send_blocking(command.output());
    });
    let output = told.recv().await.unwrap().unwrap();
    (output.status.code().unwrap(), serde_json::from_slice(&output.stdout).unwrap())
}

/// A number is done everywhere once the source's leases from before its start have run out and all below have it; a
/// source that can't be asked makes it not known.
#[test]
fn staff_hear_when_a_number_is_done_everywhere_and_who_is_not_heard() {
    run(async |tasks| {
        let (office, events) = (KeyFolder::new(), Rc::new(Coordinator::default()));
        let above = source(tasks, &office, SHORT_LEASE, &events);
        let (_below, _silent) =
            named(tasks, "n1", &[], router_conf(&office, "n1", SHORT_LEASE, &[("n0", above)]));
        events.purge(1);
        wait_for_applied(&records_path(&office, "n1"), 2).await;
        let staff = Staff::new(&office.conf("n3", &format!("relay-source n0 {above}"))).unwrap();
        let said = Cell::new(0);
        staff.wait(0, |progress| said.set(said.get() + u32::from(progress.everywhere != Some(true)))).await;
        assert!(said.get() > 0, "not known at first");
        let progress = staff.progress(2).await;
        assert_eq!((progress.number, progress.everywhere, progress.watermark), (2, Some(true), 2));
        assert!(progress.age.is_some() && progress.routers > 0, "{progress:?}");
        assert_eq!(staff.progress(3).await.everywhere, Some(false), "not told yet");
        let (code, said) = program(&office, &format!("relay-source n0 {above}")).await;
        assert_eq!((code, &said["everywhere"], &said["number"]), (0, &true.into(), &2.into()), "{said}");
        let two = format!("relay-source n0 {above}\nrelay-source n2 {}", free_address());
        let progress = Staff::new(&office.conf("n3", &two)).unwrap().progress(2).await;
        assert_eq!((progress.everywhere, progress.silent[0].0.as_str()), (None, "n2"));
        let (code, said) = program(&office, &two).await;
        assert_eq!((code, &said["silent"][0]["name"]), (1, &"n2".into()), "{said}");
    });
}

/// Of several sources the least counts, and who is slowest below any.
#[test]
fn what_several_sources_say_adds_up_to_the_least() {
    let lagging = |name: &str, applied| Lagging { name: name.to_owned(), applied };
    let word = |watermark, everywhere, slow: Vec<Lagging>| Word {
        number: 9,
        latest: 9,
        watermark,
        everywhere,
        age: Some(watermark),
        summary: Summary { routers: 10, expired: 1, lagging: slow },
    };
    let one = ("s1".to_owned(), Ok(word(9, Some(true), vec![lagging("a", 9)])));
    let two = ("s2".to_owned(), Ok(word(7, Some(false), vec![lagging("b", 7)])));
    let fresh = ("s2".to_owned(), Ok(word(9, None, vec![])));
    let silent = ("s2".to_owned(), Err("closed".to_owned()));
    let all = Progress::of(9, &vec![one.clone(), two]);
    assert_eq!((all.everywhere, all.watermark, all.routers, all.expired), (Some(false), 7, 20, 2));
    assert_eq!((all.lagging[0].name.as_str(), all.age), ("b", Some(9)));
    assert_eq!(Progress::of(9, &vec![one.clone(), fresh]).everywhere, None);
    assert_eq!(Progress::of(9, &vec![one.clone(), silent.clone()]).everywhere, None);
    assert_eq!(Progress::of(9, &vec![one]).everywhere, Some(true));
    assert!(Progress::of(9, &vec![silent]).text().contains("source s2 can't be asked: closed"));
    assert_eq!(Progress::of(9, &vec![]).everywhere, None);
}
