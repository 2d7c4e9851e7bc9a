//! Delivery of messages in the simulated network.

use super::*;

/// The network.
impl Model {
    pub(super) fn post(&mut self, from: Node, to: Node, message: Message) {
        self.network.push(Envelope { from, to, message });
    }

    /// Delivers, repeats or loses one message, in any order.
    pub(super) fn deliver_one(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.network.len());
        let (from, to) = (self.network[index].from, self.network[index].to);
        if let Node::Decider(i) = to
            && self.deciders[i].paused_until > self.now
        {
            return;
        }
        let is_request = matches!(self.network[index].message, Message::Request(..));
        let envelope = match self.rng.random_range(0..20) {
            0 if !is_request => self.network[index].clone(),
            _ => self.network.swap_remove(index),
        };
        let is_cut = self.cut.contains(&(from.min(to), from.max(to)));
        if !is_cut && self.rng.random_range(0..20) > 0 {
            self.receive(envelope);
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        match to {
            Node::Decider(index) => self.decide(from, index, message),
            Node::Ingress(index) => self.receive_at_ingress(index, message),
            Node::Egress(e) => match message {
                Message::Request(send, member) => self.arrive(from, e, send, &member),
                Message::Inquire(send, member, age) => self.inquire(from, e, send, &member, age),
                other => panic!("{other:?} at an egress"),
            },
        }
    }

    fn receive_at_ingress(&mut self, index: usize, message: Message) {
        match message {
            Message::Table(row) if row.epoch > self.known[index].epoch => self.known[index] = row,
            Message::Table(_) => {}
            Message::Answer(ask, answer) => {
                let now = self.now;
                let send = self.asks[&ask];
                if let Some(open) = self.open.get_mut(&send) {
                    let step = open.keyed.answered(answer, now);
                    self.follow(send, step);
                }
            }
            Message::Response(send, outcome) => self.end(send, outcome),
            Message::Found(send, resolution) => match resolution {
                Resolution::Answered => self.end(send, Outcome::Answered(Answer::NotStored)),
                Resolution::NotRun => self.end(send, Outcome::NotRun(NotRun::NeverRan)),
                Resolution::Running => {}
                Resolution::Lost => self.end(send, Outcome::Unknown(Unknown::ConnectionLost)),
            },
            other => panic!("{other:?} at an ingress"),
        }
    }

    fn decide(&mut self, from: Node, index: usize, message: Message) {
        let (now, wall) = (self.now, self.wall(self.deciders[index].skew_ms));
        let Some(ledger) = &mut self.deciders[index].ledger else {
            return;
        };
        let (reply, actions) = match message {
            Message::Permit(ask, permit) => (None, ledger.permit(ask, permit, now, wall)),
            Message::Settle(settle) => (None, ledger.settle(&settle, now, wall)),
            Message::Found(send, found) => (None, ledger.resolve(send, found, now, wall)),
            Message::GrantAnswer(answer) => (None, ledger.grant_answered(&answer, now, wall)),
            Message::CopyAnswer(answer) => (None, ledger.copied(&answer, now, wall)),
            Message::Update(update) => {
                ledger.update(&update, now, wall);
                (None, Vec::new())
            }
            Message::Grant(grant) => {
                let (answer, actions) = ledger.grant(&grant, now, wall);
                (Some(Message::GrantAnswer(answer)), actions)
            }
            Message::Copy(copy) => {
                let (answer, actions) = ledger.copy(&copy, now, wall);
                (answer.map(Message::CopyAnswer), actions)
            }
            Message::Table(row) => {
                let table = SlotTable { rows: vec![row] };
                (None, ledger.install(&table, now, wall))
            }
            other => panic!("{other:?} at a deciding node"),
        };
        if let Some(reply) = reply {
            self.post(Node::Decider(index), from, reply);
        }
        self.act(index, actions);
    }

    pub(super) fn act(&mut self, index: usize, actions: Vec<Action>) {
        let from = Node::Decider(index);
        for action in actions {
            match action {
                Action::Answer { ask, answer } => {
                    if let Some(open) = self.open.get(&self.asks[&ask]) {
                        let to = Node::Ingress(open.ingress);
                        self.post(from, to, Message::Answer(ask, answer));
                    }
                }
                Action::Grant { to, grant } => self.post_to(from, &to, Message::Grant(grant)),
                Action::Update { to, update } => self.post_to(from, &to, Message::Update(update)),
                Action::Copy { to, copy } => self.post_to(from, &to, Message::Copy(copy)),
                Action::Inquire { to, send, age_s } => {
                    let age = Duration::from_secs(u64::from(age_s));
                    let egress = Node::Egress(index_of(&to));
                    self.post(from, egress, Message::Inquire(send, to, age));
                }
                Action::ConfirmTable => self.confirm(index),
            }
        }
    }

    fn post_to(&mut self, from: Node, to: &Member, message: Message) {
        self.post(from, Node::Decider(index_of(to)), message);
    }

    /// The table is fetched from a peer, which may not have the latest row.
    fn confirm(&mut self, index: usize) {
        let (now, wall) = (self.now, self.wall(self.deciders[index].skew_ms));
        let row = self
            .known
            .choose(&mut self.rng)
            .expect("an ingress")
            .clone();
        let Some(ledger) = &mut self.deciders[index].ledger else {
            return;
        };
        let table = SlotTable { rows: vec![row] };
        let actions = ledger.install(&table, now, wall);
        ledger.confirm(now);
        self.act(index, actions);
    }
}
