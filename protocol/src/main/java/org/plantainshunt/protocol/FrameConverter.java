package org.plantainshunt.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.plantainshunt.protocol.wire.AnswerStart;
import org.plantainshunt.protocol.wire.CallRefused;
import org.plantainshunt.protocol.wire.CallStart;
import org.plantainshunt.protocol.wire.Frame;
import org.plantainshunt.protocol.wire.HeaderField;
import org.plantainshunt.protocol.wire.Identity;
import org.plantainshunt.protocol.wire.Load;
import org.plantainshunt.result.Refusal;
import org.plantainshunt.result.ResultCode;
import org.plantainshunt.retry.RetryShare;

/** Converts between this module's message records and the generated Protocol Buffers classes. */
final class FrameConverter {
    /** Maximum length of a refusal's detail, in characters; keeps the frame within its size limit. */
    static final int MAXIMUM_DETAIL_LENGTH = 1_024;

    private FrameConverter() {}

    static Identity identity(InnerSettings settings) {
        return Identity.newBuilder()
                .setVm(settings.vm())
                .setIncarnation(settings.incarnation())
                .setDraining(settings.draining().get())
                .setDocumentNumber(settings.documentNumber().getAsLong())
                .setClockNanoseconds(System.nanoTime())
                .build();
    }

    static HandshakeInfo handshakeInfo(Identity identity) {
        return new HandshakeInfo(
                identity.getVm(), identity.getIncarnation(), identity.getDraining(), identity.getDocumentNumber());
    }

    static Frame callStart(long callNumber, CallMessage message, long deadlineMilliseconds) {
        CallStart.Builder start = CallStart.newBuilder()
                .setCall(callNumber)
                .setService(message.service())
                .setKind(message.kind())
                .setPath(message.path())
                .setMethod(message.method())
                .addAllHeaders(fields(message.headers()))
                .setBodyLength(message.body().length)
                .setRequestId(message.requestId())
                .setPriority(message.priority())
                .setContinues(message.continues())
                .setDeadlineMilliseconds(deadlineMilliseconds)
                .setAllowance(message.share().allowance())
                .setRepeat(message.share().repeat())
                .setSentNanoseconds(System.nanoTime())
                .setTraceParent(message.traceParent())
                .setDocumentNumber(message.documentNumber());
        message.ticket().ifPresent(start::setTicket);
        return Frame.newBuilder().setCallStart(start).build();
    }

    static CallMessage call(CallStart start, byte[] body, long elapsedMilliseconds) {
        return new CallMessage(
                start.getService(),
                start.getKind(),
                start.getPath(),
                start.getMethod(),
                headers(start.getHeadersList()),
                body,
                start.getRequestId(),
                start.getPriority(),
                start.getContinues(),
                Math.max(0, start.getDeadlineMilliseconds() - elapsedMilliseconds),
                new RetryShare(start.getAllowance(), start.getRepeat()),
                start.hasTicket() ? Optional.of(start.getTicket()) : Optional.empty(),
                start.getTraceParent(),
                start.getDocumentNumber());
    }

    /** Checks the ranges of the numbers in a call, on which other classes rely. */
    static void checkRanges(CallStart start) throws ProtocolException {
        if (start.getBodyLength() < 0
                || start.getPriority() < 0
                || start.getPriority() > CallMessage.HIGHEST_PRIORITY_VALUE
                || start.getDeadlineMilliseconds() < 0
                || start.getAllowance() < 0) {
            throw invalid("the peer sent a call with a number out of its range");
        }
    }

    static Frame answerStart(long callNumber, AnswerMessage message) {
        AnswerStart.Builder start = AnswerStart.newBuilder()
                .setCall(callNumber)
                .setCode(message.code().number())
                .setStatus(message.status())
                .addAllHeaders(fields(message.headers()))
                .setBodyLength(message.body().length)
                .setUnusedAllowance(message.unusedAllowance())
                .setLoad(load(message.load()));
        return Frame.newBuilder().setAnswerStart(start).build();
    }

    static AnswerMessage answer(AnswerStart start, byte[] body) throws ProtocolException {
        return new AnswerMessage(
                code(start.getCode()),
                start.getStatus(),
                headers(start.getHeadersList()),
                body,
                start.getUnusedAllowance(),
                load(start.getLoad()));
    }

    static Frame refused(long callNumber, Refusal refusal, int unusedAllowance, LoadReport load) {
        String detail = refusal.detail();
        CallRefused.Builder refused = CallRefused.newBuilder()
                .setCall(callNumber)
                .setCode(refusal.code().number())
                .setDetail(detail.substring(0, Math.min(detail.length(), MAXIMUM_DETAIL_LENGTH)))
                .setRetryAfterMilliseconds(refusal.retryAfterMilliseconds())
                .setUnusedAllowance(unusedAllowance)
                .setLoad(load(load));
        Frame frame = Frame.newBuilder().setCallRefused(refused).build();
        if (Frames.fits(frame)) {
            return frame;
        }
        return Frame.newBuilder().setCallRefused(refused.clearLoad()).build();
    }

    static Refusal refusal(CallRefused refused) throws ProtocolException {
        return new Refusal(code(refused.getCode()), refused.getDetail(), refused.getRetryAfterMilliseconds());
    }

    static RefusalMessage refusalMessage(CallRefused refused) throws ProtocolException {
        return new RefusalMessage(refusal(refused), refused.getUnusedAllowance(), load(refused.getLoad()), true);
    }

    static LoadReport load(Load load) {
        return new LoadReport(load.getInFlight(), load.getQueued(), load.getLevelsMap());
    }

    static ProtocolException invalid(String message) {
        return new ProtocolException(ResultCode.PROTOCOL_FRAME_INVALID, message);
    }

    private static Load load(LoadReport load) {
        return Load.newBuilder()
                .setInFlight(load.inFlight())
                .setQueued(load.queued())
                .putAllLevels(load.levels())
                .build();
    }

    private static ResultCode code(int number) throws ProtocolException {
        return ResultCode.ofNumber(number).orElseThrow(() -> invalid("the peer sent the unknown code " + number));
    }

    private static List<HeaderField> fields(List<Header> headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Header header : headers) {
            fields.add(HeaderField.newBuilder()
                    .setName(header.name())
                    .setValue(header.value())
                    .build());
        }
        return fields;
    }

    static List<Header> headers(List<HeaderField> fields) {
        List<Header> headers = new ArrayList<>(fields.size());
        for (HeaderField field : fields) {
            headers.add(new Header(field.getName(), field.getValue()));
        }
        return headers;
    }
}
