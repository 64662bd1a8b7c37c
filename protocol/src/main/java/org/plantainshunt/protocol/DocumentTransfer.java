package org.plantainshunt.protocol;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.protobuf.UnsafeByteOperations;
import org.plantainshunt.protocol.wire.DocumentPart;
import org.plantainshunt.protocol.wire.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives documents on one connection, one at a time in each direction.
 *
 * <p>Confined to the event loop.
 */
final class DocumentTransfer implements OutgoingStream {
    /** Maximum number of documents waiting to be sent; a peer needs only one of each kind. */
    static final int MAXIMUM_WAITING_DOCUMENTS = 4;

    private static final Logger LOGGER = LoggerFactory.getLogger(DocumentTransfer.class);

    private final FrameWriter writer;
    private final Deque<DocumentMessage> waiting = new ArrayDeque<>();
    private int sent;
    private DocumentPart first;
    private BodyAssembly assembly;

    DocumentTransfer(FrameWriter writer) {
        this.writer = writer;
    }

    void send(DocumentMessage document) {
        if (waiting.size() >= MAXIMUM_WAITING_DOCUMENTS) {
            LOGGER.info(
                    "document {} {} not sent: too many documents are waiting",
                    document.documentKind(),
                    document.number());
            return;
        }
        waiting.add(document);
        if (waiting.size() == 1) {
            writer.add(this);
        }
    }

    @Override
    public boolean writeTurn(Consumer<Frame> output) {
        DocumentMessage document = waiting.getFirst();
        byte[] bytes = document.compressed();
        int length = Math.min(Frames.MAXIMUM_CHUNK_BYTES, bytes.length - sent);
        DocumentPart.Builder part = DocumentPart.newBuilder()
                .setDocumentKind(document.documentKind())
                .setNumber(document.number())
                .setDigest(document.digest())
                .setOffset(sent)
                .setTotal(bytes.length)
                .setData(UnsafeByteOperations.unsafeWrap(bytes, sent, length));
        output.accept(Frame.newBuilder().setDocumentPart(part).build());
        sent += length;
        if (sent == bytes.length) {
            waiting.removeFirst();
            sent = 0;
        }
        return !waiting.isEmpty();
    }

    /** Adds a part and returns the document once it is complete. */
    Optional<DocumentMessage> receive(DocumentPart part) throws ProtocolException {
        if (part.getOffset() == 0) {
            begin(part);
        } else if (first == null || !continues(part)) {
            throw FrameConverter.invalid("the peer sent a part of a document out of order");
        }
        assembly.append(part.getData());
        if (!assembly.isComplete()) {
            return Optional.empty();
        }
        byte[] compressed = assembly.finish();
        first = null;
        assembly = null;
        return Optional.of(new DocumentMessage(part.getDocumentKind(), part.getNumber(), part.getDigest(), compressed));
    }

    private void begin(DocumentPart part) throws ProtocolException {
        if (part.getTotal() < 0 || part.getTotal() > DocumentMessage.MAXIMUM_BYTES) {
            throw FrameConverter.invalid("the peer sent a document of " + part.getTotal() + " bytes; the limit is "
                    + DocumentMessage.MAXIMUM_BYTES);
        }
        first = part.toBuilder().clearData().build();
        assembly = new BodyAssembly(part.getTotal());
    }

    private boolean continues(DocumentPart part) {
        return part.getOffset() == assembly.received()
                && part.getTotal() == first.getTotal()
                && part.getNumber() == first.getNumber()
                && part.getDigest().equals(first.getDigest())
                && part.getDocumentKind().equals(first.getDocumentKind());
    }
}
