package org.plantainshunt.cli;

import java.util.Locale;

import org.plantainshunt.configuration.Document;
import org.plantainshunt.configuration.Kind;
import org.plantainshunt.configuration.Notation;
import org.plantainshunt.configuration.Policy;
import org.plantainshunt.configuration.PriorityClass;
import org.plantainshunt.configuration.Service;
import org.plantainshunt.result.ResultCode;

/**
 * Explains result codes for one kind of request, using the limits and deadlines in its document.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class Adviser {
    private static final String NO_ACTION = "Nothing.";
    private static final String REPEAT_LATER =
            "Repeat the request after the time in Retry-After, with Plantainshunt-Attempt one higher.";
    private static final String CORRECT_REQUEST = "Correct the request; a repeat of the same request fails again.";
    private static final String NO_ACTION_UNLESS_FREQUENT = "Nothing, unless it is frequent: ";

    private final Document document;
    private final Kind kind;
    private final Service service;
    private final Policy policy;

    Adviser(Document document, Kind kind) {
        this.document = document;
        this.kind = kind;
        this.service = document.service(kind.service()).orElseThrow();
        this.policy = document.policy();
    }

    Advice advise(ResultCode code) {
        return switch (code.number() / 100) {
            case 10 -> answered(code);
            case 11 -> notRun(code);
            case 12 -> handedOverOrRun(code);
            case 13 -> requestErrors(code);
            case 14 -> protocolErrors(code);
            default -> throw new IllegalArgumentException("no advice for " + code);
        };
    }

    private Advice answered(ResultCode code) {
        if (code == ResultCode.ANSWERED) {
            return new Advice("The whole answer of the backend server arrived in time.", NO_ACTION, NO_ACTION);
        }
        return new Advice(
                "The ticket of this request was used before and ran; the stored answer is given again.",
                "Use the answer; it is the only one of this ticket.",
                NO_ACTION);
    }

    private Advice notRun(ResultCode code) {
        return switch (code) {
            case OVERLOADED -> overloaded();
            case OVERLOADED_DOWNSTREAM -> overloadedDownstream();
            case DEADLINE_TOO_SHORT -> deadlineTooShort();
            case TICKET_REQUIRED -> ticketRequired();
            case RETRY_BOUND_REACHED -> retryBoundReached();
            case TICKET_TABLE_FULL -> new Advice(
                    "The serving node keeps as many tickets as it can; each is kept for "
                            + Notation.duration(policy.outcomeKeptFor()) + " after its end.",
                    REPEAT_LATER,
                    "Look for callers that take tickets and do not use them; lower outcome-kept-for or add backend"
                            + " servers to " + kind.service() + ".");
            case TICKET_VOID -> new Advice(
                    "The request was refused with this ticket before, and \"not run\" was reported then.",
                    "Repeat the request without a ticket and use the new one that the answer carries.",
                    NO_ACTION);
            case LINK_BUDGET_SPENT -> linkBudgetSpent();
            default -> unavailable(code);
        };
    }

    private Advice overloaded() {
        return new Advice(
                "The queueing delay at the serving node stayed over " + Notation.duration(service.targetQueueDelay())
                        + ", or all " + service.queue() + " places of the queue were taken, and " + shedding() + ".",
                REPEAT_LATER,
                "Compare demand with " + service.slots() + " slots for each backend server of " + kind.service()
                        + " (plantainshunt status); add backend servers, or slots if they have room. A longer queue"
                        + " only adds delay.");
    }

    private Advice overloadedDownstream() {
        return new Advice(
                "A service among the calls listed above sheds this class, so the request was refused before any work"
                        + " was done for it; " + shedding() + ".",
                REPEAT_LATER,
                "Find the service with the lowest admission level (plantainshunt status) among these calls and relieve"
                        + " it; capacity added to " + kind.service() + " does not help.");
    }

    private String shedding() {
        boolean first = kind.priorityClass() == PriorityClass.SHEDDABLE;
        String word = Notation.priorityClass(kind.priorityClass());
        return first ? word + " work is shed first" : word + " work is shed once less important work is";
    }

    private Advice deadlineTooShort() {
        return new Advice(
                "The deadline, at most " + Notation.duration(kind.deadline()) + " or what Plantainshunt-Deadline gave,"
                        + " passed, or became too short for the usual run time of this kind, while the request waited.",
                "Give more time in Plantainshunt-Deadline if less than " + Notation.duration(kind.deadline())
                        + " was given; otherwise " + decapitalize(REPEAT_LATER),
                "If it is frequent without overload (1100), raise the deadline of [kind " + kind.service() + " "
                        + kind.name() + "] above its usual run time.");
    }

    private Advice ticketRequired() {
        if (kind.atMostOnce()) {
            return new Advice(
                    "The kind runs at most once, and the request came without a ticket.",
                    "Repeat the request with the header Plantainshunt-Ticket from this answer within "
                            + Notation.duration(policy.ticketUseWithin())
                            + ", and with the same ticket at each further repeat.",
                    NO_ACTION);
        }
        return new Advice(
                "This kind is repeatable in this document and needs no ticket, so the node that answered has another"
                        + " document.",
                REPEAT_LATER,
                "Compare the configuration numbers of the nodes (plantainshunt status).");
    }

    private Advice retryBoundReached() {
        return new Advice(
                "All " + policy.retriesPerRequest() + " retries for the whole call chain were used, the node's retries"
                        + " reached " + Notation.share(policy.retryBudget())
                        + " of its first attempts, Plantainshunt-Attempt was over " + (policy.retriesPerRequest() + 1)
                        + ", or a backend server made more calls than its kind declares.",
                "Do not repeat the request now; report the failure to the user.",
                "Look for the failure that caused the retries. If a backend server makes more calls than it declares,"
                        + " correct calls of its kind.");
    }

    private Advice linkBudgetSpent() {
        String links = document.links().isEmpty() ? "no link" : linkRates();
        return new Advice(
                "The backend server would have been in another region, and the link (" + links
                        + ") had no room for work of the class " + Notation.priorityClass(kind.priorityClass()) + ".",
                REPEAT_LATER,
                "Add backend servers of " + kind.service() + " in the region of the callers, or correct the bandwidth"
                        + " if the link has more.");
    }

    private String linkRates() {
        return document.links().stream()
                .map(link -> link.regionA() + " to " + link.regionB() + " " + Notation.rate(link.bitsPerSecond()))
                .reduce((first, second) -> first + ", " + second)
                .orElse("");
    }

    private Advice unavailable(ResultCode code) {
        return switch (code) {
            case DRAINING -> new Advice(
                    "The backend server is shutting down, and no other one could be tried.",
                    REPEAT_LATER,
                    NO_ACTION_UNLESS_FREQUENT + "stop fewer VMs of " + kind.service() + " at a time.");
            case NO_BACKEND_SERVER -> new Advice(
                    "The entry node knows no backend server of " + kind.service() + " that it may use.",
                    REPEAT_LATER,
                    "Look at the upstreams of the entry node (plantainshunt status) and at the VM list.");
            case NODE_BUSY -> new Advice(
                    "A ring buffer of the node was more than half full, so the node accepted no new work.",
                    REPEAT_LATER,
                    NO_ACTION_UNLESS_FREQUENT + "look at the load of the VM's processors, which the node shares.");
            case CANCELLED_BEFORE_RUN -> new Advice(
                    "The caller closed its connection while the request waited.",
                    "Wait for longer if the answer is still wanted.",
                    NO_ACTION_UNLESS_FREQUENT + "callers wait for less than the deadline of "
                            + Notation.duration(kind.deadline()) + ".");
            case CONNECT_FAILED -> new Advice(
                    "The serving node or the backend server accepted no connection.",
                    REPEAT_LATER,
                    "Check that the backend server runs, and that it accepts " + service.connections()
                            + " connections.");
            case NOT_READY -> new Advice(
                    "The node has just started and has no document yet.",
                    REPEAT_LATER,
                    "If it lasts, check the platform's address and the seeds in the node's settings.");
            default -> throw new IllegalArgumentException("no advice for " + code);
        };
    }

    private Advice handedOverOrRun(ResultCode code) {
        return switch (code) {
            case OUTCOME_UNKNOWN -> new Advice(
                    "The connection to the node or to the backend server broke, or the process that issued the ticket"
                            + " could not be asked.",
                    repeatAfterUnknown(),
                    "Look for nodes that restarted or were cut off at that time.");
            case TICKET_EXPIRED_OR_FOREIGN -> new Advice(
                    "The node that issued the ticket has restarted or was replaced, or the ticket is older than "
                            + Notation.duration(policy.ticketUseWithin()) + " unused or "
                            + Notation.duration(policy.outcomeKeptFor()) + " after its end.",
                    "Find out by other means whether the request ran before taking a new ticket.",
                    NO_ACTION_UNLESS_FREQUENT + "raise ticket-use-within or outcome-kept-for.");
            case DEADLINE_PASSED_AFTER_HANDOVER -> new Advice(
                    "The backend server had the request but gave no whole answer within "
                            + Notation.duration(kind.deadline()) + " or the time in Plantainshunt-Deadline.",
                    repeatAfterUnknown(),
                    "Compare the usual time of this kind with its deadline, and look for a slow backend server.");
            case ANSWER_CUT -> new Advice(
                    "The connection closed before the whole answer had arrived, or its checksum did not match.",
                    repeatAfterUnknown(),
                    "Look for backend servers of " + kind.service() + " that stopped at that time.");
            case CANCELLED_RUNNING -> new Advice(
                    "The caller closed its connection while the request ran.",
                    repeatAfterUnknown(),
                    NO_ACTION_UNLESS_FREQUENT + "callers wait for less than the deadline of "
                            + Notation.duration(kind.deadline()) + ".");
            default -> limitExceeded(code);
        };
    }

    private Advice limitExceeded(ResultCode code) {
        return switch (code) {
            case RAN_TOO_LONG -> ranTooLong();
            case ANSWER_TOO_LARGE -> new Advice(
                    "The answer is larger than " + Notation.size(policy.largestAnswer()) + ".",
                    "Do not repeat the request; it ran. Ask for less in one request.",
                    "Raise largest-answer if such answers are intended.");
            case ANSWER_NOT_KEPT -> new Advice(
                    "The ticket ran and was answered, but the serving node had no room to keep the answer.",
                    "Do not repeat the request; it ran. Look up its effect with another request.",
                    NO_ACTION_UNLESS_FREQUENT + "lower outcome-kept-for or the size of the answers.");
            default -> throw new IllegalArgumentException("no advice for " + code);
        };
    }

    private Advice ranTooLong() {
        if (kind.atMostOnce()) {
            return new Advice(
                    "Nodes never cancel work that runs at most once, so the node that answered has another document.",
                    repeatAfterUnknown(),
                    "Compare the configuration numbers of the nodes (plantainshunt status).");
        }
        return new Advice(
                "The request ran for over " + service.longWorkAfter() + " times the median of its kind while long work"
                        + " held over " + Notation.share(service.longWorkShare()) + " of " + service.slots()
                        + " slots and short work waited.",
                "Repeat the request later, or ask for less in one request.",
                "Raise long-work-share or long-work-after if such work is intended, or give it a kind of its own.");
    }

    private String repeatAfterUnknown() {
        if (!kind.atMostOnce()) {
            return "Repeat the request; this kind may run more than once.";
        }
        return "Repeat the request with the same ticket, which cannot run it twice; the answer says what is known."
                + " Never repeat it with a new ticket.";
    }

    private Advice requestErrors(ResultCode code) {
        return switch (code) {
            case MALFORMED_REQUEST -> new Advice(
                    "The path is not /SERVICE/KIND, or a Plantainshunt header is malformed.",
                    CORRECT_REQUEST,
                    NO_ACTION);
            case UNKNOWN_SERVICE -> new Advice(
                    "The node's document has no [service " + kind.service() + "]; this document has one.",
                    "Check the first part of the path.",
                    "Compare the configuration numbers of the nodes (plantainshunt status).");
            case UNKNOWN_KIND -> new Advice(
                    "The node's document has no [kind " + kind.service() + " " + kind.name()
                            + "]; this document has one.",
                    "Check the second part of the path.",
                    "Compare the configuration numbers of the nodes (plantainshunt status).");
            case BODY_TOO_LARGE -> new Advice(
                    "The body is larger than " + Notation.size(policy.largestBody()) + ".",
                    "Send less in one request.",
                    "Raise largest-body if such requests are intended.");
            case HEADER_TOO_LARGE -> new Advice(
                    "The headers are larger than the node accepts.", CORRECT_REQUEST, NO_ACTION);
            default -> throw new IllegalArgumentException("no advice for " + code);
        };
    }

    private Advice protocolErrors(ResultCode code) {
        return switch (code) {
            case PROTOCOL_VERSION_MISMATCH -> new Advice(
                    "Two nodes run releases with incompatible versions of the inner protocol.",
                    REPEAT_LATER,
                    "Finish the upgrade of the nodes, one data centre at a time.");
            case PROTOCOL_AUTHENTICATION_FAILED -> new Advice(
                    "Two nodes have different values of shared-secret in their settings.",
                    REPEAT_LATER,
                    "Give all nodes the same shared-secret and restart those that differ.");
            case PROTOCOL_FRAME_INVALID -> new Advice(
                    "A node received bytes that are not a frame of the inner protocol; the connection was closed.",
                    repeatAfterUnknown(),
                    "Check that nothing but nodes connects to the inner ports, and report it as a defect.");
            default -> throw new IllegalArgumentException("no advice for " + code);
        };
    }

    private static String decapitalize(String sentence) {
        return sentence.substring(0, 1).toLowerCase(Locale.ROOT) + sentence.substring(1);
    }
}
