package org.plantainshunt.protocol;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.plantainshunt.protocol.RecordingHandler.Outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against closing the connection, with all its calls, when a ticket request overtakes a call. */
class TicketOrderTest {
    private static final int ROUNDS = 50;

    @Test
    void ticketRequestsMayOvertakeCalls() throws Exception {
        try (FakeNode entry = new FakeNode("vm-entry");
                FakeNode serving = new FakeNode("vm-serving")) {
            InnerConnection connection = entry.connectTo(serving);
            List<Outcome> outcomes = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                outcomes.add(new Outcome());
                connection.call(RecordingHandler.message("/", new byte[40_000]), outcomes.get(i));
                connection.requestTicket("recorder", "push", new Outcome());
            }
            for (int i = 0; i < ROUNDS; i++) {
                serving.nextCall().answer(new byte[1]);
            }
            for (Outcome outcome : outcomes) {
                assertEquals(1, outcome.answer().body().length);
            }
            assertTrue(connection.isOpen());
        }
    }
}
