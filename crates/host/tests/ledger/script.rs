//! One key, one fault after each message in turn, then the caller sends again.

use super::*;

/// A fault between two messages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    LoseNextMessage,
    RepeatNextMessage,
    KillOwner,
    KillDeputy,
    KillBoth,
    KillIngress,
    KillEgress,
    ReplaceLivingOwner,
    PauseOwner,
    CutOwnerFromDeputy,
}

pub const FAULTS: [Fault; 10] = [
    Fault::LoseNextMessage,
    Fault::RepeatNextMessage,
    Fault::KillOwner,
    Fault::KillDeputy,
    Fault::KillBoth,
    Fault::KillIngress,
    Fault::KillEgress,
    Fault::ReplaceLivingOwner,
    Fault::PauseOwner,
    Fault::CutOwnerFromDeputy,
];

/// Runs the script; returns the model and whether the fault happened before the
/// first send had ended.
pub fn run(fault: Fault, after: usize) -> (Model, bool) {
    let mut model = Model::new(0);
    model.calm = true;
    model.deliver_in_order(None);
    model.add_key();
    model.send_through(0);
    let happened = model.deliver_in_order(Some((fault, after)));
    model.wait(Duration::from_secs(6));
    model.cut.clear();
    for ingress in [1, 2, 1, 2] {
        model.send_through(ingress);
        model.wait(Duration::from_secs(4));
    }
    (model, happened)
}

impl Model {
    /// Sends the only key through an ingress.
    fn send_through(&mut self, ingress: usize) {
        self.caller_sends();
        let latest = self.open.keys().next_back().copied().expect("a send");
        let open = self.open.remove(&latest).expect("the latest send");
        self.network.clear();
        self.open.insert(latest, OpenSend { ingress, ..open });
        self.ask(latest);
    }

    /// Delivers all messages in the order in which they were posted, and ends
    /// what runs whenever there are none.
    fn deliver_in_order(&mut self, fault: Option<(Fault, usize)>) -> bool {
        let (mut delivered, mut happened) = (0, false);
        loop {
            if let Some((fault, after)) = fault
                && delivered == after
                && !happened
                && !self.network.is_empty()
            {
                happened = true;
                self.happen(fault);
            }
            if !self.network.is_empty() {
                delivered += 1;
                self.deliver_first();
            } else if self.egresses.iter().any(|e| !e.running.is_empty()) {
                self.finish_one();
            } else {
                return happened;
            }
        }
    }

    fn deliver_first(&mut self) {
        let envelope = self.network.remove(0);
        let (from, to) = (envelope.from, envelope.to);
        let is_cut = self.cut.contains(&(from.min(to), from.max(to)));
        let is_paused = match to {
            Node::Decider(i) => self.deciders[i].paused_until > self.now,
            _ => false,
        };
        if !is_cut && !is_paused {
            self.receive(envelope);
        }
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now.after(time);
        while self.now < end {
            self.deliver_in_order(None);
            self.pass_time();
        }
    }

    fn happen(&mut self, fault: Fault) {
        let (owner, deputy) = (index_of(&self.row.owner), index_of(&self.row.deputy));
        match fault {
            Fault::LoseNextMessage => {
                self.network.remove(0);
            }
            Fault::RepeatNextMessage => {
                let first = self.network[0].clone();
                if !matches!(first.message, Message::Request(..)) {
                    self.network.push(first);
                }
            }
            Fault::KillOwner => self.replace(&[owner]),
            Fault::KillDeputy => self.replace(&[deputy]),
            Fault::KillBoth => self.replace(&[owner, deputy]),
            Fault::KillIngress => self.open.clear(),
            Fault::KillEgress => (0..EGRESSES).for_each(|e| self.restart_egress(e)),
            Fault::ReplaceLivingOwner => {
                self.row = self.row.promote(decider(2, 1));
                self.announce_row();
            }
            Fault::PauseOwner => {
                self.deciders[owner].paused_until = self.now.after(Duration::from_secs(5));
            }
            Fault::CutOwnerFromDeputy => {
                let (a, b) = (Node::Decider(owner), Node::Decider(deputy));
                self.cut.insert((a.min(b), a.max(b)));
            }
        }
    }

    fn replace(&mut self, killed: &[usize]) {
        for index in killed {
            self.restart_decider(*index);
        }
        self.change_row();
    }

    /// Outcomes in the order of the sends.
    pub fn outcomes(&self) -> Vec<Outcome> {
        let mut sends: Vec<_> = self.history.reported.iter().collect();
        sends.sort_by_key(|(send, _)| send.attempt);
        sends.into_iter().map(|(_, outcome)| *outcome).collect()
    }
}
