//! Steps of a play: staff's words, what happens to routers and boxes meanwhile, and what is waited for. A step that can't
//! be carried out, or whose event does not come, fails the run; how long anything takes says nothing.
//!
//! ```text
//! say 0 work order --box 1          staff's command, asking elector 0 first; it has to be made
//! refused 0 work order --together ... ; it has to be refused, and its words hold what stands behind the semicolon
//! alone 0 work order --box 1        the same command, with elector 0 as the only one that staff can reach; not made
//! propose 0 deny-member 1; weight 2 50    a version of these directives
//! stage box 1 out                   wait for it
//! ended                             wait until no order stands
//! holds 3                           wait until version 3 holds and none is on its way; also 'pending 3'
//! waits n4 can't carry it           wait until the leader says that it waits for that
//! mark box 1                        from now on new work there is a breach; 'clear box 1' ends that
//! back box 1                        the same as clear, and staff's word
//! through                           bring back whatever is out, until no order stands
//! box 1 drain|ready|restart         the coordinator says so
//! stall 3s                          the coordinator says nothing for so long
//! for 3s freeze n3                  a fault, beside what follows; 'mended' waits for all of them
//! rest 500ms
//! ```

use std::fs;
use std::io;
use std::rc::Rc;

use async_executor::Task;
use serde_json::Value;

use super::{LOOK_AGAIN, Rig, SECOND, listed, script, time, until};
use crate::coordinator::Coordinator;
use crate::office::{Office, rest};
use crate::trial::{Act, carry_out};
use silverspindle_wire::clock;

/// What the play goes on in.
pub(super) struct Play {
    pub rig: Rc<Rig>,
    pub office: Rc<Office>,
    pub coordinator: Rc<Coordinator>,
}

fn elector(word: Option<&str>) -> io::Result<usize> {
    let number = word.and_then(|word| word.parse().ok());
    number.ok_or_else(|| io::Error::other("names no elector"))
}

impl Play {
    /// Plays all steps.
    pub async fn run(self) -> io::Result<()> {
        let mut faults = Vec::new();
        for (n, step) in self.rig.options.steps.lines().map(str::trim).filter(|s| !s.is_empty()).enumerate() {
            let failed = |e: io::Error| io::Error::other(format!("step {}, {step:?}: {e}", n + 1));
            self.step(n, step, &mut faults).await.map_err(failed)?;
        }
        for fault in faults {
            fault.await;
        }
        Ok(())
    }

    async fn step(&self, n: usize, step: &str, faults: &mut Vec<Task<()>>) -> io::Result<()> {
        let (kind, rest_of) = step.split_once(' ').unwrap_or((step, ""));
        let words: Vec<&str> = rest_of.split_whitespace().collect();
        let args = words.get(1..).unwrap_or_default();
        match kind {
            "say" => {
                let by = elector(words.first().copied())?;
                // Told that the outcome is not known, staff ask again.
                until("its being made", async || {
                    let (said, _) = self.rig.command(by, args).await;
                    (said["made"] == true).then_some(())
                })
                .await
            }
            "refused" => {
                let by = elector(words.first().copied())?;
                let (command, why) = rest_of.split_once(';').unwrap_or((rest_of, ""));
                let args: Vec<&str> = command.split_whitespace().skip(1).collect();
                let (good, text) = self.rig.words(by, &args).await;
                match !good && text.contains(why.trim()) {
                    true => Ok(()),
                    false => Err(io::Error::other(format!("it says {text:?}"))),
                }
            }
            "alone" => {
                let by = elector(words.first().copied())?;
                let (said, good) = self.rig.told(&format!("alone{by}.conf"), args).await;
                match good {
                    true => Err(io::Error::other(format!("it was made: {said}"))),
                    false => Ok(()),
                }
            }
            "propose" => {
                let by = elector(words.first().copied())?;
                let text = rest_of.split_once(' ').map_or("", |(_, text)| text).replace(';', "\n");
                let file = self.rig.folder.join(format!("step{n}"));
                fs::write(&file, text)?;
                let file = file.display().to_string();
                until("its being proposed", async || {
                    let (said, _) = self.rig.command(by, &["rules", "propose", &file]).await;
                    (said["made"] == true).then_some(())
                })
                .await
            }
            "stage" => {
                let (machine, stage) = rest_of.rsplit_once(' ').unwrap_or((rest_of, ""));
                until("the stage", async || (self.stage(machine).await? == stage).then_some(())).await
            }
            "ended" => until("the orders' end", async || self.orders().await?.is_empty().then_some(())).await,
            "holds" | "pending" => {
                let number = words.first().and_then(|word| word.parse::<u64>().ok());
                let settled = kind == "holds";
                until("the version", async || {
                    let (status, _) = self.rig.command(0, &["rules", "status"]).await;
                    let which = if settled { &status["current"] } else { &status["next"]["version"] };
                    (which["number"].as_u64() == number && (status["next"].is_null() == settled))
                        .then_some(())
                })
                .await
            }
            "waits" => {
                until("what the leader waits for", async || {
                    let of = if self.rig.options.rules { "rules" } else { "work" };
                    let (status, _) = self.rig.command(0, &[of, "status"]).await;
                    status.to_string().contains(rest_of).then_some(())
                })
                .await
            }
            "mark" => self.mark(rest_of, true),
            "clear" => self.mark(rest_of, false),
            "back" => {
                self.mark(rest_of, false)?;
                self.back(rest_of).await
            }
            "through" => {
                until("the orders' end", async || {
                    let orders = self.orders().await?;
                    for (machine, stage) in &orders {
                        if stage == "out" {
                            self.back(machine).await.ok()?;
                        }
                    }
                    orders.is_empty().then_some(())
                })
                .await
            }
            "box" => {
                let id = words.first().and_then(|word| word.parse().ok());
                let id: u32 = id.ok_or_else(|| io::Error::other("names no box"))?;
                // A mark of ours stays: the coordinator's word is no leave to use it.
                let marked = self.office.tier(id).and_then(|tier| tier.drained.get());
                let act = match words.get(1).copied() {
                    Some("drain") => Act::Drain(id),
                    Some("ready") => Act::Ready(id),
                    Some("restart") => Act::Restart(id),
                    _ => return Err(io::Error::other("drain, ready or restart")),
                };
                carry_out(act, &self.office, &self.coordinator);
                self.office.tier(id).into_iter().for_each(|tier| tier.drained.set(marked));
                Ok(())
            }
            "stall" => {
                let lasts = time(rest_of).ok_or_else(|| io::Error::other("for how long?"))?;
                let coordinator = self.coordinator.clone();
                coordinator.stalled.set(true);
                let ends = async move {
                    rest(lasts).await;
                    coordinator.stalled.set(false);
                };
                faults.push(self.rig.tasks.spawn(ends));
                Ok(())
            }
            "for" => {
                let fault = script(&format!("0s {rest_of}")).map_err(io::Error::other)?.remove(0);
                let rig = self.rig.clone();
                faults.push(self.rig.tasks.spawn(async move { rig.fault(1000 + n, &fault).await }));
                // It has begun before what follows.
                rest(LOOK_AGAIN).await;
                Ok(())
            }
            "mended" => {
                for fault in faults.drain(..) {
                    fault.await;
                }
                Ok(())
            }
            "rest" => {
                rest(time(rest_of).ok_or_else(|| io::Error::other("for how long?"))?).await;
                Ok(())
            }
            _ => Err(io::Error::other("is no step")),
        }
    }

    /// Machines in orders with their stages; none: nobody said.
    async fn orders(&self) -> Option<Vec<(String, String)>> {
        let (status, good) = self.rig.command(0, &["work", "status"]).await;
        let all = status["orders"].as_array().filter(|_| good)?.iter();
        let machines = all.flat_map(|order| order["machines"].as_array().into_iter().flatten());
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        Some(machines.map(|m| (text(&m["machine"]), text(&m["stage"]))).collect())
    }

    async fn stage(&self, machine: &str) -> Option<String> {
        self.orders().await?.into_iter().find(|(name, _)| name == machine).map(|(_, stage)| stage)
    }

    fn mark(&self, machine: &str, on: bool) -> io::Result<()> {
        let id = listed(machine).ok_or_else(|| io::Error::other("is neither box nor parent"))?;
        // New work counts from a second after a drain was told: this one was told longer ago.
        let told = on.then(|| clock::now() - SECOND);
        self.office.tier(id).into_iter().for_each(|tier| tier.drained.set(told));
        self.rig.out.borrow_mut().work.0 += u64::from(on);
        Ok(())
    }

    async fn back(&self, machine: &str) -> io::Result<()> {
        let (kind, id) = machine.split_once(' ').unwrap_or((machine, ""));
        let kind = format!("--{kind}");
        until("its being back", async || {
            let (said, _) = self.rig.command(0, &["work", "back", &kind, id]).await;
            (said["made"] == true).then_some(())
        })
        .await
    }
}
