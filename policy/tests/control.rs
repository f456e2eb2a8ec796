//! Golden sessions of the table, membership, ceilings and the directory.
//!
//! In the files in `golden/control`, a line that starts with `> ` is a step, and the lines after it
//! are its output. If `UPDATE_GOLDEN` is set, the files are overwritten with the current output.

use compact_str::CompactString;
use policy::{
    ceiling::Ceilings,
    command::Frame,
    directory,
    id::{DomainId, HostId},
    member::{Heartbeat, Member, Membership, Profile, State, gossip::Stamp, overlay},
    table::{
        Table,
        edit::{Cell, Edit, LogEntry},
        replica::{Replica, Update},
        row::Key,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::{collections::BTreeMap, env, fmt::Write, fs, path::PathBuf, sync::Arc, time::Duration};

/// Control state of one daemon.
struct Daemon {
    members: Membership,
    ceiling: Ceilings,
    replica: Replica,
    /// Stamps that each peer is known to have, by the host they are about.
    known: BTreeMap<HostId, BTreeMap<HostId, Stamp>>,
}

/// Daemons, table revisions and simulated time of a session.
struct Session {
    now: Duration,
    daemons: BTreeMap<HostId, Daemon>,
    /// Table at each revision, starting with the empty table at revision 0.
    tables: Vec<Arc<Table>>,
    log: Vec<LogEntry>,
    rng: ChaCha8Rng,
}

impl Session {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            daemons: BTreeMap::new(),
            tables: vec![Arc::new(Table::default())],
            log: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    /// Executes one step and returns its output.
    fn step(&mut self, words: &[&str]) -> String {
        match *words {
            ["at", time] => self.at(time),
            ["daemon", host, domain, incarnation] => self.start(host, domain, incarnation),
            ["beat", host, load] => {
                let load = load.parse().expect("the load is a number");
                let pulse = Heartbeat { load, revision: 0 };
                let now = self.now;
                self.daemon(host).members.publish_heartbeat(now, pulse);
                String::new()
            }
            ["state", host, state] => {
                let state: State = state.parse().expect("the state exists");
                self.daemon(host).members.set_state(state);
                String::new()
            }
            ["exchange", from, to] => self.exchange(from, to),
            ["members", host] => {
                let line = |m: &Member| format!("{} {}\n", m.host, m.presence);
                self.members(host).iter().map(line).collect()
            }
            ["sharers", host] => {
                let (hosts, steady) = self.daemons[host].members.ceiling_members(self.now);
                let sharers = hosts.join(" ");
                format!("{sharers} {}\n", if steady { "steady" } else { "in doubt" })
            }
            ["links", host] => {
                let links = overlay::neighbours(&host.into(), &self.members(host));
                format!("{}\n", links.join(" "))
            }
            ["directory", host, workspace, domain] => self.directory(host, workspace, domain),
            ["demand", host, row, rate] => {
                let row = row.parse().expect("the row has a kind and a name");
                let rate = rate.parse().expect("the rate is a number");
                let part = self.daemons[host].ceiling.quota(&row).unwrap_or_default();
                let frame = Frame::Demand {
                    row,
                    rate,
                    quota: part,
                };
                self.daemon(host).members.publish(&frame);
                String::new()
            }
            ["admit", host, row, count] => self.admit(host, row, count),
            ["tick", host] => self.tick(host),
            ["edit", who, base, ref cells @ ..] => self.edit(who, base, cells),
            ["sheet"] => self.tables[self.tables.len() - 1].to_csv(),
            ["log"] => {
                let line = |e: &LogEntry| {
                    let cells = e.changes.iter().map(|c| format!("  {c}\n"));
                    let cells = cells.collect::<String>();
                    format!("revision {} by {}\n{cells}", e.revision, e.who)
                };
                self.log.iter().map(line).collect()
            }
            ["offer", host, revision] => self.offer(host, revision),
            ["pass", from, to] => self.pass(from, to),
            _ => panic!("unknown step {words:?}"),
        }
    }

    fn at(&mut self, time: &str) -> String {
        let seconds = time.parse().expect("the time is in seconds");
        self.now = Duration::from_secs_f64(seconds);
        String::new()
    }

    fn start(&mut self, host: &str, domain: &str, incarnation: &str) -> String {
        let profile = Profile {
            incarnation: incarnation.parse().expect("the incarnation is a number"),
            api: format!("{host}:80").into(),
            peer: format!("{host}:81").into(),
            domain: domain.into(),
            region: "r".into(),
            state: State::Live,
        };
        let daemon = Daemon {
            members: Membership::new(host, profile),
            ceiling: Ceilings::new(host),
            replica: Replica::new(),
            known: BTreeMap::new(),
        };
        self.daemons.insert(host.into(), daemon);
        for other in self.daemons.values_mut() {
            other.known.remove(host);
        }
        String::new()
    }

    fn daemon(&mut self, host: &str) -> &mut Daemon {
        self.daemons.get_mut(host).expect("the daemon was started")
    }

    fn members(&self, host: &str) -> Vec<Member> {
        self.daemons[host].members.members(self.now)
    }

    fn exchange(&mut self, from: &str, to: &str) -> String {
        let now = self.now;
        let sender = self.daemon(from);
        let known = sender.known.entry(to.into()).or_default();
        let items = sender.members.delta(now, &to.into(), known, usize::MAX);
        let mut text = format!("{} items\n", items.len());
        let receiver = self.daemon(to);
        for (origin, frame) in receiver.members.merge(now, items) {
            receiver.ceiling.apply_demand(now, &origin, &frame);
            writeln!(text, "{origin}: {}", json(&frame))
                .expect("writing to a string does not fail");
        }
        let (sharers, steady) = receiver.members.ceiling_members(now);
        receiver.ceiling.set_members(now, &sharers, steady);
        text
    }

    fn directory(&mut self, host: &str, workspace: &str, domain: &str) -> String {
        let members = self.members(host);
        let domain = DomainId::from(domain);
        let ttl = Duration::from_secs(5);
        let answer = directory::resolve(
            &members,
            &workspace.into(),
            Some(&domain),
            ttl,
            &mut self.rng,
        );
        let within = (Duration::from_secs(4)..=ttl).contains(&answer.ttl);
        let line = |named: &directory::Endpoint| format!("{} {}\n", named.host, named.domain);
        let lines: String = answer.entries.iter().map(line).collect();
        format!("{lines}ttl within bounds: {within}\n")
    }

    fn admit(&mut self, host: &str, row: &str, count: &str) -> String {
        let now = self.now;
        let row: Key = row.parse().expect("the row has a kind and a name");
        let count: usize = count.parse().expect("the count is a number");
        let ceiling = &mut self.daemon(host).ceiling;
        let admit = |_: &usize| ceiling.admit(now, &[&row], Duration::ZERO).is_ok();
        format!("{} of {count} admitted\n", (0..count).filter(admit).count())
    }

    fn tick(&mut self, host: &str) -> String {
        let now = self.now;
        let daemon = self.daemon(host);
        let mut frames = Vec::new();
        daemon.ceiling.tick(now, &mut frames);
        let mut text = String::new();
        for frame in &frames {
            daemon.members.publish(frame);
            text.extend([&json(frame), "\n"]);
        }
        text
    }

    fn edit(&mut self, who: &str, base: &str, cells: &[&str]) -> String {
        let cell = |word: &&str| {
            let (path, value) = word.split_once('=').expect("a cell has a value");
            let (row, column) = path.rsplit_once('.').expect("a cell has a column");
            Cell {
                row: row.parse().expect("the row has a kind and a name"),
                column: column.parse().expect("the column exists"),
                value: value.into(),
            }
        };
        let base = base.parse().expect("the base is a number");
        let edit = Edit {
            id: CompactString::from(who),
            who: who.into(),
            base,
            cells: cells.iter().map(cell).collect(),
        };
        let table = Arc::clone(&self.tables[self.tables.len() - 1]);
        let log: Vec<_> = self
            .log
            .iter()
            .filter(|e| e.revision > base)
            .cloned()
            .collect();
        match edit.apply(&table, &log, 0) {
            Ok((table, entry)) => {
                self.tables.push(Arc::new(table));
                self.log.push(entry);
                format!("revision {}\n", self.tables.len() - 1)
            }
            Err(refusal) => format!("refused: {refusal}\n"),
        }
    }

    fn offer(&mut self, host: &str, revision: &str) -> String {
        let revision: usize = revision.parse().expect("the revision is a number");
        let now = self.now;
        let table = Arc::clone(&self.tables[revision]);
        let daemon = self.daemon(host);
        let outcome = daemon.replica.apply(&Update::Snapshot { table });
        if let Some(table) = daemon.replica.table() {
            daemon.ceiling.set_table(now, table);
        }
        format!(
            "{outcome}, revision {:?} in force\n",
            daemon.replica.revision()
        )
    }

    fn pass(&mut self, from: &str, to: &str) -> String {
        let revision = self.daemons[to].replica.revision();
        let Some(update) = self.daemons[from].replica.update_since(revision) else {
            return "nothing to pass\n".into();
        };
        let outcome = self.daemon(to).replica.apply(&update);
        let kind = match update {
            Update::Snapshot { .. } => "snapshot".into(),
            Update::Delta(delta) => format!("{} rows", delta.rows.len()),
        };
        let revision = self.daemons[to].replica.revision();
        format!("{kind}: {outcome}, revision {revision:?} in force\n")
    }
}

fn json(frame: &Frame) -> String {
    serde_json::to_string(frame).expect("a frame serializes to JSON")
}

fn replay(script: &str) -> String {
    let mut session = Session::new();
    let mut transcript = String::new();
    for line in script.lines() {
        if line.starts_with('#') || line.is_empty() {
            transcript.push_str(line);
            transcript.push('\n');
        } else if let Some(step) = line.strip_prefix("> ") {
            let words: Vec<_> = step.split_whitespace().collect();
            let output = session.step(&words);
            transcript.extend([line, "\n", &output]);
        }
    }
    transcript
}

#[rstest]
#[case("table")]
#[case("membership")]
#[case("ceiling")]
fn sessions_match(#[case] name: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/control")
        .join(format!("{name}.txt"));
    let script = fs::read_to_string(&path).expect("the golden file is readable");
    let transcript = replay(&script);
    if env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &transcript).expect("the golden file is writable");
        return;
    }
    assert_eq!(transcript, script, "session {name} differs");
}
