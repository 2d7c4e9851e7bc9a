//! Egresses and their backend servers in the simulated network.

use super::*;

/// The egress.
impl Model {
    pub(super) fn arrive(&mut self, from: Node, e: usize, send: SendId, to: &Member) {
        let reply = |outcome| Message::Response(send, outcome);
        let node = &mut self.egresses[e];
        if to.incarnation != node.incarnation {
            let outcome = Outcome::NotRun(NotRun::NotServing);
            return self.post(Node::Egress(e), from, reply(outcome));
        }
        match node.store.begin(send) {
            Begin::Repeated => {}
            Begin::Refuse => {
                let outcome = Outcome::NotRun(NotRun::NeverRan);
                self.post(Node::Egress(e), from, reply(outcome));
            }
            Begin::Run if !self.calm && self.rng.random_range(0..5) == 0 => {
                let reason = NotRun::ShedByServer;
                node.store.finish(send, End::NotRun(reason), self.now);
                self.post(Node::Egress(e), from, reply(Outcome::NotRun(reason)));
            }
            Begin::Run => {
                node.running.push((send, from));
                let runs = self.history.runs.entry(send.request).or_default();
                runs.push(send.attempt);
            }
        }
    }

    pub(super) fn finish_one(&mut self) {
        let e = self.rng.random_range(0..EGRESSES);
        let node = &mut self.egresses[e];
        let Some((send, from)) = node.running.pop() else {
            return;
        };
        let (end, outcome) = match self.rng.random_range(0..4) {
            0 if !self.calm => {
                let reason = Unknown::ServerCrashed;
                (End::Unknown(reason), Outcome::Unknown(reason))
            }
            _ => (End::Answered(None), Outcome::Answered(Answer::Complete)),
        };
        node.store.finish(send, end, self.now);
        self.post(Node::Egress(e), from, Message::Response(send, outcome));
    }

    pub(super) fn inquire(
        &mut self,
        from: Node,
        e: usize,
        send: SendId,
        to: &Member,
        age: Duration,
    ) {
        let node = &mut self.egresses[e];
        let resolution = if to.incarnation != node.incarnation {
            Resolution::Lost
        } else {
            match node.store.inquire(send, age, self.now) {
                Finding::Complete(_) => Resolution::Answered,
                Finding::Running => Resolution::Running,
                Finding::Never | Finding::NotRun(_) => Resolution::NotRun,
                Finding::Unknown(_) | Finding::Forgotten => Resolution::Lost,
            }
        };
        self.post(Node::Egress(e), from, Message::Found(send, resolution));
    }
}
