package org.plantainshunt.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.plantainshunt.admission.Priority;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.retry.AttemptAllowance;
import org.plantainshunt.retry.RetryShare;

/**
 * A call from its arrival at an entry node to its reply.
 *
 * <p>The fields are written by {@link EntrySide} and {@link CallPreparation} only. Confined to the decision thread.
 */
final class EntryCall {
    final long id;
    final InboundCall inbound;
    final ReplyListener reply;
    final Set<String> excludedVms = new HashSet<>();
    Kind kind;
    Priority priority;
    String requestId;
    long deadline;
    RetryShare share;
    AttemptAllowance allowance;
    boolean mayHaveRun;
    /** Whether the call names a request that runs at this node's backend server by its id, without a token. */
    boolean nested;

    /** The progress of the request running here that the call is made for. */
    Optional<RequestProgress> progress = Optional.empty();
    /** Whether an earlier call for the same request was answered before this one. */
    boolean continues;

    int retries;
    boolean done;
    /** The VM that the call was last sent to. */
    String lastServer = "";

    /** Whether the deadline was shortened because this process stops. */
    boolean endsWithProcess;
    /** Whether the serving node was asked to give up the call because this process stops. */
    boolean withdrawn;

    EntrySide.Attempt attempt;
    HopTracer.Hop hop;
    /** The request running here whose retry allowance the call shares. */
    Optional<CallContexts.Context> parent = Optional.empty();

    Optional<Refusal> lastRefusal = Optional.empty();
    /** The last answer of a backend server with an error status. */
    Optional<CallReply> lastErrorAnswer = Optional.empty();

    EntryCall(long id, InboundCall inbound, ReplyListener reply) {
        this.id = id;
        this.inbound = inbound;
        this.reply = reply;
        this.requestId = inbound.requestId();
        this.deadline = Long.MAX_VALUE / 2;
    }

    /** Makes this a call for a request that runs here. */
    void setProgress(RequestProgress progressOfRequest) {
        progress = Optional.of(progressOfRequest);
        continues = progressOfRequest.hasAnsweredCalls();
    }

    /** Notes at the request that it has had a call answered, unless the reply is a refusal or an error. */
    void updateProgress(CallReply reply) {
        if (reply.refusal().isEmpty() && reply.status() < EntrySide.MIN_SERVER_ERROR_STATUS) {
            progress.ifPresent(RequestProgress::callWasAnswered);
        }
    }

    void setAllowance(RetryShare given, int downstreamCalls) {
        share = given;
        allowance = new AttemptAllowance(given, downstreamCalls);
    }
}
