package org.plantainshunt.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.plantainshunt.configuration.Vm;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerErrorsTest {
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int ANSWERS = 40;

    private final Upstream faulty = upstream("a");
    private final List<Upstream> servers = List.of(faulty, upstream("b"), upstream("c"));
    private long now;

    @Test
    void serverWithMoreErrorsThanItsPeersStandsOut() {
        answer(2, 20, 20);
        assertTrue(BackendServerChoice.hasMoreErrorsThanPeers(faulty, servers, now));
    }

    /** Guards against servers that are avoided for the failures of a service that all of them call. */
    @Test
    void errorsOfAllServersMakeNoneStandOut() {
        answer(2, 2, 2);
        assertFalse(BackendServerChoice.hasMoreErrorsThanPeers(faulty, servers, now));
    }

    @Test
    void onlyServerNeverStandsOut() {
        answer(1, 1, 1);
        assertFalse(BackendServerChoice.hasMoreErrorsThanPeers(faulty, List.of(faulty), now));
    }

    /** Counts answers; each server returns one error in the given number of answers. */
    private void answer(int... errorOneIn) {
        for (int answer = 0; answer < ANSWERS; answer++) {
            now += STEP;
            for (int server = 0; server < servers.size(); server++) {
                servers.get(server).answered(answer % errorOneIn[server] == 0, now);
            }
        }
    }

    private static Upstream upstream(String name) {
        Vm vm = new Vm(name, "s", "d", "10.0.0.1", 7000, false, OptionalInt.of(4), Optional.empty());
        return new Upstream(vm, Distance.SAME_DATA_CENTRE, 4);
    }
}
