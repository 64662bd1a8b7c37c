package org.plantainshunt.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainshunt.configuration.Vm;
import org.plantainshunt.configuration.VmList;
import org.plantainshunt.routing.Upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against new work for leaving servers and against treating all servers as dead. */
class MembershipTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Membership membership =
            new Membership("d", dataCentre -> Optional.of("r"), service -> service.equals("s") ? 10 : 1);
    private long revision;
    private long now;

    /**
     * Each row is a sequence of events of vm-0 and whether it may receive new work afterwards.
     *
     * <p>{@code live} and {@code leaving} are lists, {@code +N} and {@code -N} are handshakes of incarnation N as
     * serving and as draining, {@code dN} is a drain message of N, {@code x} a failed and {@code l} a lost connection,
     * {@code w} a wait of 1 s.
     */
    @ParameterizedTest
    @CsvSource({
        "live, true",
        "live +1, true",
        "leaving, false",
        "leaving +1, false",
        "leaving +1 live, true",
        "live +1 d1, false",
        "live +1 d1 live, false",
        "live +1 d1 +1, false",
        "live +1 d1 w w w live, false",
        "live +1 d1 +2, true",
        "live +1 d1 +2 d1, true",
        "live +1 d1 +2 +1, true",
        "live +1 d1 +2 d2, false",
        "live +1 +2 d3, false",
        "live d1, false",
        "live -1, false",
        "live -1 +1, false",
        "live -1 +2, true",
        "live +1 leaving, false",
        "live +1 leaving live, false",
        "live +1 leaving +2, false",
        "live +1 leaving +2 leaving, false",
        "live +1 leaving +2 leaving live, true",
        "live +1 leaving +2 live, true",
        "live +1 leaving live +2, true",
        "live +1 leaving live +1, false",
        "live +1 l, false",
        "live +1 l w, true",
        "live x, false",
        "live x w, true",
        "live x x, false",
        "live x x x w, false",
        "live x x x +1, true",
        "live +1 d1 x w w w, false",
        "live +1 d1 x +2, true",
        "live +1 d1 l +1, false",
        "+1 live, true",
        "d1 live, false",
        "d1 +2 live, true",
    })
    void combinesEvents(String events, boolean usable) {
        for (String each : events.split(" ")) {
            apply(each);
        }
        boolean found = membership.usable("s", now).stream()
                .anyMatch(upstream -> upstream.vm().name().equals("vm-0"));
        assertEquals(usable, found);
    }

    /** A node that is partitioned from a service must not refuse all calls as if every server were dead. */
    @Test
    void ignoresFailedConnectionsBelowPanicThreshold() {
        list(10, false);
        IntStream.range(0, 7).forEach(index -> membership.connectFailed("vm-" + index, now));
        assertEquals(3, usable().size());
        membership.connectFailed("vm-7", now);
        assertEquals(10, usable().size());
    }

    /** Below the threshold, servers that may be dead must not be flooded with calls, and leaving ones get none. */
    @Test
    void triesFewCallsAndNoLeavingServersWhileAllLookDead() {
        list(4, false);
        membership.draining("vm-3", 1, now);
        IntStream.range(0, 4).forEach(index -> membership.connectFailed("vm-" + index, now));
        List<Upstream> tried = new ArrayList<>(usable());
        assertEquals(List.of("vm-0", "vm-1", "vm-2"), names(tried));
        for (int call = 0; call < 3; call++) {
            tried.get(0).started(call, now);
        }
        assertEquals(List.of("vm-1", "vm-2"), names(usable()));
    }

    /** A delayed list must not replace a newer one, and an unlisted VM must receive no work. */
    @Test
    void ignoresOlderListsAndUnlistedVms() {
        list(3, false);
        membership.vmList(new VmList(0, List.of()), now);
        assertEquals(3, membership.fleetSize());
        list(2, false);
        assertEquals(List.of("vm-0", "vm-1"), names(usable()));
        assertTrue(membership.upstream("vm-2").isEmpty());
        assertEquals(10, membership.upstream("vm-1").orElseThrow().slots());
    }

    private void apply(String event) {
        switch (event.charAt(0)) {
            case 'l':
                if (event.equals("l")) {
                    membership.disconnected("vm-0", now);
                } else {
                    list(4, event.equals("leaving"));
                }
                break;
            case '+':
                membership.connected("vm-0", Long.parseLong(event), false, now);
                break;
            case '-':
                membership.connected("vm-0", -Long.parseLong(event), true, now);
                break;
            case 'd':
                membership.draining("vm-0", Long.parseLong(event.substring(1)), now);
                break;
            case 'x':
                membership.connectFailed("vm-0", now);
                break;
            case 'w':
                now += SECOND;
                break;
            default:
                throw new IllegalArgumentException(event);
        }
    }

    /** Applies a list of {@code size} VMs, the first of which may be leaving. */
    private void list(int size, boolean firstLeaving) {
        revision++;
        membership.vmList(
                new VmList(
                        revision,
                        IntStream.range(0, size)
                                .mapToObj(index -> new Vm(
                                        "vm-" + index, "s", "d", "10.0.0." + index, 7001, firstLeaving && index == 0))
                                .toList()),
                now);
    }

    private List<Upstream> usable() {
        return membership.usable("s", now);
    }

    private static List<String> names(List<Upstream> upstreams) {
        return upstreams.stream().map(upstream -> upstream.vm().name()).toList();
    }
}
