//! Time, faults and changes of the table in the simulated network.

use super::*;

/// Steps of time and faults.
impl Model {
    pub fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..70 => self.deliver_one(),
            70..80 => self.caller_sends(),
            80..84 => self.finish_one(),
            84..96 => self.pass_time(),
            96..99 if self.rng.random_range(0..100) >= self.fault_percent => self.deliver_one(),
            96 => self.change_cut(),
            97 => self.fault(),
            98 => self.change_row(),
            _ => self.add_key(),
        }
    }

    /// Ends all faults and lets everything come to an end.
    pub fn settle_down(&mut self) {
        self.cut.clear();
        for _ in 0..400 {
            for _ in 0..20 {
                self.deliver_one();
            }
            self.finish_one();
            self.pass_time();
        }
    }

    fn pass_time(&mut self) {
        self.now = Time(self.now.0 + self.rng.random_range(0..100_000));
        for index in 0..DECIDERS {
            let (now, wall) = (self.now, self.wall(self.deciders[index].skew_ms));
            let node = &mut self.deciders[index];
            if node.paused_until > now {
                continue;
            }
            if let Some(ledger) = &mut node.ledger {
                let actions = ledger.tick(now, wall);
                self.act(index, actions);
            }
        }
        let due = self.open.iter().filter(|(_, open)| match open.sent {
            true => open.deadline <= self.now,
            false => open.keyed.due().is_some_and(|due| due <= self.now),
        });
        let due: Vec<SendId> = due.map(|(send, _)| *send).collect();
        for send in due {
            self.time_out(send);
        }
    }

    fn change_cut(&mut self) {
        if self.rng.random() {
            self.cut.clear();
            return;
        }
        let a = self.any_node();
        let b = self.any_node();
        self.cut.insert((a.min(b), a.max(b)));
    }

    fn any_node(&mut self) -> Node {
        match self.rng.random_range(0..3) {
            0 => Node::Decider(self.rng.random_range(0..DECIDERS)),
            1 => Node::Ingress(self.rng.random_range(0..INGRESSES)),
            _ => Node::Egress(self.rng.random_range(0..EGRESSES)),
        }
    }

    fn fault(&mut self) {
        if self.rng.random_range(0..8) == 0 {
            return self.lose_history();
        }
        match self.any_node() {
            Node::Decider(index) if self.rng.random() => {
                let pause = self.rng.random_range(0..6_000);
                self.deciders[index].paused_until = self.now.after(Duration::from_millis(pause));
            }
            Node::Decider(index) => self.restart_decider(index),
            Node::Ingress(index) => self.open.retain(|_, open| open.ingress != index),
            Node::Egress(index) => self.restart_egress(index),
        }
    }

    /// Owner and deputy fail at the same time.
    fn lose_history(&mut self) {
        for member in [self.row.owner.clone(), self.row.deputy.clone()] {
            self.restart_decider(index_of(&member));
        }
        self.change_row();
    }

    fn restart_decider(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.deciders[index];
        node.incarnation += 1;
        node.paused_until = now;
        let me = decider(index, node.incarnation);
        node.ledger = Some(Ledger::new(me, Options::default(), now));
    }

    fn restart_egress(&mut self, index: usize) {
        let store = ExchangeStore::new(inquiry::Options::default(), self.now);
        let node = &mut self.egresses[index];
        node.store = store;
        node.incarnation += 1;
        node.running.clear();
    }
}

/// The table. Nodes are replaced whether they have failed or not; the history
/// is given up only when both have been restarted.
impl Model {
    fn change_row(&mut self) {
        let spare = self.spare();
        let is_lost = |m: &Member| self.deciders[index_of(m)].incarnation != m.incarnation;
        let (owner_lost, deputy_lost) = (is_lost(&self.row.owner), is_lost(&self.row.deputy));
        self.row = match (owner_lost, deputy_lost) {
            (true, true) => {
                self.history.restarts += 1;
                let other = self.other_spare(&spare);
                self.row.restart(name("labasa"), spare, other)
            }
            (false, true) => self.row.with_deputy(spare),
            (false, false) if self.rng.random() => self.row.with_deputy(spare),
            _ => {
                self.history.promotions += 1;
                self.row.promote(spare)
            }
        };
        self.announce_row();
    }

    fn spare(&mut self) -> Member {
        let all = (0..DECIDERS).map(|i| decider(i, self.deciders[i].incarnation));
        let used = [&self.row.owner.host, &self.row.deputy.host];
        let spare: Vec<Member> = all.filter(|m| !used.contains(&&m.host)).collect();
        spare.choose(&mut self.rng).expect("a spare node").clone()
    }

    fn other_spare(&self, taken: &Member) -> Member {
        let index = (0..DECIDERS)
            .find(|i| *i != index_of(taken))
            .expect("four nodes");
        decider(index, self.deciders[index].incarnation)
    }

    pub(super) fn announce_row(&mut self) {
        let deciders = (0..DECIDERS).map(Node::Decider);
        let nodes: Vec<Node> = deciders.chain((0..INGRESSES).map(Node::Ingress)).collect();
        for to in nodes {
            let message = Message::Table(self.row.clone());
            self.network.push(Envelope {
                from: to,
                to,
                message,
            });
        }
    }
}
