//! What the head of a backend server's response says of the request and of the server.

use dogwoodway_routing::direct::{
    attribution::{NamedRequest, is_answer},
    fleet::Placement,
    health::HealthSignal,
    retry::AttemptOutcome,
    server_notice::ServerNotice,
};

use crate::{
    exchange::BackendResponse,
    fleet_actor::{
        ApplyServerNotice, AssignedServer, RecordUnnamedResponse, ServerProcess, ServerReplaced,
        UpdateWeightsState, WeightsState,
    },
    platform_api::{NotExecuted, ResponseClass},
    relay::{ClientRequest, Relay},
};

impl Relay {
    /// Classifies a response by its head. `Ok(true)` is a valid response that reports a failure of
    /// the server; `Err` means that the response must not be sent to the client. Nothing that a response
    /// states is used unless it answers the request.
    ///
    /// Also reports to the fleet which weights the server serves, if that differs from what the
    /// placement assumed.
    pub(super) fn classify_response(
        &self,
        request: &ClientRequest,
        target: &AssignedServer,
        upstream: &BackendResponse,
    ) -> Result<bool, (AttemptOutcome, HealthSignal, String)> {
        let named = self.protocol.named_request(&request.head.id, &upstream.head.headers);
        if named == NamedRequest::Unnamed {
            self.report_unnamed_response(target);
        }
        if !is_answer(named, upstream.is_first_on_connection) {
            let (status, is_first) = (upstream.head.status, upstream.is_first_on_connection);
            let why = format!("not an answer to it: {named:?}, {status}, first: {is_first}");
            return Err((AttemptOutcome::Lost, HealthSignal::Failed, why));
        }
        if let Some(version) = self.protocol.weights_version(&upstream.head.headers)
            && target.placement.version != Some(version)
        {
            self.report_weights(request, target, WeightsState::Serving(version));
        }
        let name = &target.placement.name;
        let notice = self.protocol.server_notice(name, &upstream.head);
        let class = self.protocol.classify_response(name, &upstream.head);
        let is_of_target = !matches!(
            class,
            ResponseClass::Invalid(_) | ResponseClass::NotExecuted(NotExecuted::OtherServer)
        );
        let may_end_limit = target.placement.has_limit && is_of_target;
        if !notice.is_empty() || may_end_limit {
            self.report_notice(target, notice, may_end_limit);
        }
        match class {
            ResponseClass::Valid => Ok(false),
            ResponseClass::ServerError => Ok(true),
            ResponseClass::NotExecuted(why) => {
                match why {
                    NotExecuted::Busy => {}
                    NotExecuted::OtherWeights => {
                        self.report_weights(request, target, WeightsState::Mismatch);
                    }
                    NotExecuted::OtherServer => self.report_replaced(target),
                }
                Err((AttemptOutcome::NotExecuted, HealthSignal::Refused, format!("{why:?}")))
            }
            ResponseClass::Invalid(why) => Err((AttemptOutcome::Lost, HealthSignal::Failed, why)),
        }
    }

    /// Reports that the address of a server is now used by another one. If the server is still running,
    /// the directory lists it again.
    fn report_replaced(&self, target: &AssignedServer) {
        let Placement { server, name, started_at_ms, .. } = &target.placement;
        let process = ServerProcess { name: name.clone(), started_at_ms: *started_at_ms };
        if let Err(e) = self.fleet.tell(ServerReplaced { server: *server, process }).try_send() {
            log::warn!("could not report that a server was replaced: {e}");
        }
    }

    fn report_unnamed_response(&self, target: &AssignedServer) {
        let Placement { server, started_at_ms, .. } = target.placement;
        if let Err(e) = self.fleet.tell(RecordUnnamedResponse { server, started_at_ms }).try_send()
        {
            log::warn!("could not report a response that names no request: {e}");
        }
    }

    fn report_notice(&self, target: &AssignedServer, notice: ServerNotice, may_end_limit: bool) {
        let Placement { server, started_at_ms, sent_at, .. } = target.placement;
        let sent_at = may_end_limit.then_some(sent_at);
        let msg = ApplyServerNotice { server, started_at_ms, notice, sent_at };
        if let Err(e) = self.fleet.tell(msg).try_send() {
            log::warn!("could not report the notice of a server: {e}");
        }
    }

    fn report_weights(
        &self,
        request: &ClientRequest,
        target: &AssignedServer,
        state: WeightsState,
    ) {
        let model = request.head.prompt.as_ref().map(|prompt| prompt.model.clone());
        let update = UpdateWeightsState { server: target.placement.server, model, state };
        if let Err(e) = self.fleet.tell(update).try_send() {
            log::warn!("could not update the weights state of an engine: {e}");
        }
    }
}
