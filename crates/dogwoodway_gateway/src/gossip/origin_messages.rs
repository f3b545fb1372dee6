//! Exchange of the origins of streams with their home routers.

use std::{collections::BTreeMap, net::SocketAddr};

use dogwoodway_routing::direct::stream_origin::{
    HomeAnswer, MAX_REPORTED_LIST_AGE, OriginRecord, ServiceSoftware, TOLD_PER_ZONE, homes,
    routers_to_ask,
};
use dogwoodway_types::{ServiceName, Timestamp};

use crate::{
    clock,
    fleet_actor::GetServiceSoftware,
    gossip::{
        Gossip,
        datagram::{Content, OriginMessage},
    },
    platform_api::DirectoryPart,
    software_surveys::SoftwareQuestion,
    stream_origins::OriginQuestion,
};

impl Gossip {
    /// Tells the home routers of new streams where those began.
    pub(super) fn send_origin_records(&self, now: Timestamp) {
        let records = self.config.origins.take_unsent();
        if records.is_empty() {
            return;
        }
        let routers: Vec<_> = self.peers.infos(now).collect();
        let mut by_home: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
        for record in records {
            for home in homes(routers.iter().copied(), record.key, TOLD_PER_ZONE) {
                by_home.entry(home).or_default().push(record);
            }
        }
        for (home, records) in by_home {
            self.send(Content::StreamOrigins(OriginMessage::Records(records)), &[home]);
        }
    }

    /// Asks other routers where a stream began.
    pub(super) fn send_origin_question(&self, now: Timestamp, question: OriginQuestion) {
        let OriginQuestion { key, service } = question;
        let asked = routers_to_ask(self.peers.infos(now), key);
        self.send(Content::StreamOrigins(OriginMessage::Question { key, service }), &asked);
    }

    pub(super) async fn receive_origin_message(
        &self,
        arrived_at: Timestamp,
        from: SocketAddr,
        message: OriginMessage,
    ) {
        match message {
            OriginMessage::Records(records) => {
                self.config.origins.apply_records(arrived_at, &records);
            }
            OriginMessage::Answer { key, answer } => {
                self.config.origins.apply_answer(arrived_at, key, answer);
            }
            OriginMessage::Question { key, service } => {
                let answer = self.origin_answer(OriginQuestion { key, service }).await;
                let message = OriginMessage::Answer { key, answer };
                self.send(Content::StreamOrigins(message), &[from]);
            }
            OriginMessage::SoftwareQuestion { nonce, service } => {
                let sole = self.software(service).await.sole;
                let message = OriginMessage::SoftwareAnswer { nonce, sole };
                self.send(Content::StreamOrigins(message), &[from]);
            }
            OriginMessage::SoftwareAnswer { nonce, sole } => {
                self.config.surveys.record(nonce, from, sole);
            }
        }
    }

    /// Asks all other routers that are known which software of a service they have listed.
    pub(super) fn send_software_question(&self, question: SoftwareQuestion) {
        let SoftwareQuestion { nonce, service } = question;
        let asked = self.config.surveys.begin(nonce, self.peers.addresses());
        let message = OriginMessage::SoftwareQuestion { nonce, service };
        self.send(Content::StreamOrigins(message), &asked);
    }

    async fn software(&self, service: ServiceName) -> ServiceSoftware {
        match self.config.fleet.ask(GetServiceSoftware(service)).await {
            Ok(reply) => reply.0,
            Err(e) => {
                log::error!("fleet actor did not name the software of a service: {e}");
                ServiceSoftware::default()
            }
        }
    }

    async fn origin_answer(&self, question: OriginQuestion) -> HomeAnswer {
        let now = clock::now();
        let origin = self.config.origins.find(now, question.key);
        if origin.is_some() {
            return HomeAnswer { origin, sole_software: None };
        }
        let list_age = now - self.config.feeds.verified_at(DirectoryPart::Servers);
        let is_current = list_age <= MAX_REPORTED_LIST_AGE;
        let software = self.software(question.service).await;
        HomeAnswer { origin: None, sole_software: software.sole.filter(|_| is_current) }
    }
}
