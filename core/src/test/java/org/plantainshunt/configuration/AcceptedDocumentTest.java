package org.plantainshunt.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a configuration that reverts, or that depends on the order in which documents arrive. */
class AcceptedDocumentTest {
    @Property(seed = "20261204", tries = 200)
    void currentDocumentIsTheGreatestOfferedAndNeverReverts(@ForAll List<@IntRange(min = 1, max = 40) Integer> offers)
            throws InvalidDocumentException {
        AcceptedDocument accepted = new AcceptedDocument();
        DocumentVersion greatest = new DocumentVersion(0, "");
        for (int offer : offers) {
            byte[] bytes = document(offer / 4, offer % 4);
            boolean valid = offer >= 4;
            Acceptance expected = Acceptance.INVALID;
            if (valid) {
                int order = Document.parse(bytes).version().compareTo(greatest);
                expected = order > 0 ? Acceptance.ACCEPTED : order < 0 ? Acceptance.OLDER : Acceptance.SAME;
                greatest = order > 0 ? Document.parse(bytes).version() : greatest;
            }
            assertEquals(expected, accepted.offer(bytes));
            DocumentVersion current = accepted.current().map(Document::version).orElse(new DocumentVersion(0, ""));
            assertEquals(greatest, current);
        }
    }

    @Test
    void rejectionIsShownUntilALaterDocumentIsAccepted() {
        AcceptedDocument accepted = new AcceptedDocument();
        accepted.offer(document(1, 0));
        assertEquals(Acceptance.INVALID, accepted.offer(document(0, 0)));
        assertEquals(Acceptance.INVALID, accepted.offer(document(0, 0)));
        assertTrue(accepted.lastRejection().isPresent());
        assertEquals(1, accepted.current().orElseThrow().version().number());
        assertEquals(Acceptance.ACCEPTED, accepted.offer(document(2, 0)));
        assertTrue(accepted.lastRejection().isEmpty());
    }

    private static byte[] document(int version, int variant) {
        String text = "[document]\nversion = " + version + "\nname = variant-" + variant
                + "\n[region r]\n[data-centre d]\nregion = r\n[service s]\nslots = 1\nconnections = 1\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
