package org.plantainshunt.execution;

import java.util.HexFormat;
import java.util.Optional;

/**
 * The right to run one request at most once, at the process that issued it.
 *
 * <p>The text form is {@code node.incarnation.nonce}, with the incarnation and the nonce in lower-case hexadecimal.
 * Immutable and safe for use by any thread.
 *
 * @param node the name of the node that issued the ticket
 * @param incarnation the random number of the issuing process
 * @param nonce 128 random bits, 32 hexadecimal digits
 */
public record Ticket(String node, long incarnation, String nonce) {
    private static final int INCARNATION_DIGITS = 16;
    private static final int NONCE_DIGITS = 32;
    private static final int HEXADECIMAL_RADIX = 16;

    /** Parses a ticket; empty if the text does not have the form of a ticket. */
    public static Optional<Ticket> parse(String text) {
        int nonceDot = text.lastIndexOf('.');
        int incarnationDot = text.lastIndexOf('.', nonceDot - 1);
        if (incarnationDot <= 0
                || nonceDot - incarnationDot - 1 != INCARNATION_DIGITS
                || text.length() - nonceDot - 1 != NONCE_DIGITS) {
            return Optional.empty();
        }
        String incarnation = text.substring(incarnationDot + 1, nonceDot);
        if (!incarnation.chars().allMatch(Ticket::isDigit)) {
            return Optional.empty();
        }
        long number = Long.parseUnsignedLong(incarnation, HEXADECIMAL_RADIX);
        return Optional.of(new Ticket(text.substring(0, incarnationDot), number, text.substring(nonceDot + 1)));
    }

    /** Returns the text for the header {@code Plantainshunt-Ticket}. */
    public String text() {
        return node + '.' + HexFormat.of().toHexDigits(incarnation) + '.' + nonce;
    }

    @Override
    public String toString() {
        return text();
    }

    private static boolean isDigit(int character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    }
}
