package org.plantainshunt.configuration;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against applying a partly invalid VM list, and against error messages that do not name the cause. */
class VmListTest {
    private static final String VM =
            "[vm a-1]\nservice=a\ndata-centre=erie-1\naddress=10.0.0.1\ninner-port=7001\nstate=live\n";

    /** Guards against a list that changes when one node sends it to another. */
    @Test
    void textReadsBackAsTheSameList() throws Exception {
        VmList list = new VmList(
                9,
                List.of(
                        new Vm(
                                "10.0.0.1",
                                "a",
                                "erie-1",
                                "10.0.0.1",
                                7001,
                                false,
                                OptionalInt.of(8),
                                Optional.of("i-1")),
                        new Vm("b-1", "b", "erie-1", "10.0.0.2", 7001, true)));
        assertEquals(list, VmList.parse(list.text()));
    }

    /** Guards against a node that writes a VM list which all nodes reject. */
    @Test
    void vmThatNoListCanContainCannotBeCreated() {
        for (String address :
                List.of("host", "", "10.0.0.256", "1\uff10.0.0.1", "10.0.0.1 ", ":::::", "1:2:3", "::1%2")) {
            assertThrows(
                    IllegalArgumentException.class, () -> new Vm("b-1", "b", "erie-1", address, 7001, false), address);
        }
        for (String name : List.of("", "a b", "::1", "a]", "\u00e9")) {
            assertThrows(IllegalArgumentException.class, () -> vm(name, "b", "erie-1", 1, "i-1"), name);
            assertThrows(IllegalArgumentException.class, () -> vm("b-1", name, "erie-1", 1, "i-1"), name);
            assertThrows(IllegalArgumentException.class, () -> vm("b-1", "b", name, 1, "i-1"), name);
            assertThrows(IllegalArgumentException.class, () -> vm("b-1", "b", "erie-1", 1, name), name);
        }
        assertThrows(IllegalArgumentException.class, () -> vm("b-1", "b", "erie-1", 0, "i-1"));
        assertThrows(IllegalArgumentException.class, () -> vm("b-1", "b", "erie-1", Vm.MAX_SLOTS + 1, "i-1"));
        assertThrows(IllegalArgumentException.class, () -> new Vm("b-1", "b", "erie-1", "10.0.0.1", 65_536, false));
    }

    private static Vm vm(String name, String service, String dataCentre, int slots, String instance) {
        return new Vm(name, service, dataCentre, "10.0.0.1", 7001, false, OptionalInt.of(slots), Optional.of(instance));
    }

    @Test
    void readsRevisionAndVms() throws InvalidVmListException {
        VmList list = VmList.parse("[vm-list]\nrevision = 7\n" + VM);
        assertEquals(7, list.revision());
        assertEquals(List.of(new Vm("a-1", "a", "erie-1", "10.0.0.1", 7001, false)), list.vms());
    }

    @Test
    void reportsAllErrorsAtOnce() {
        List<String> errors = errors("[vm-list]\nrevision = x\n[other]\nk = 1\n"
                + VM
                + VM.replace("a-1", "a-2")
                + VM.replace("a-1", "a-3")
                        .replace("10.0.0.1", "host")
                        .replace("7001", "70000")
                        .replace("live", "gone")
                + "[vm a-4]\nsize = 3\n");
        assertEquals(
                List.of(
                        "[vm-list]: revision \"x\" is not a number from 0 to 9223372036854775807",
                        "[other]: unknown section",
                        "[vm a-2]: 10.0.0.1 port 7001 is already that of a-1",
                        "[vm a-3]: address \"host\" is not an IP address",
                        "[vm a-3]: inner-port \"70000\" is not a number from 1 to 65535",
                        "[vm a-3]: state \"gone\" is neither live nor leaving",
                        "[vm a-4]: unknown key size",
                        "[vm a-4]: service is missing",
                        "[vm a-4]: data-centre is missing",
                        "[vm a-4]: address is missing",
                        "[vm a-4]: inner-port is missing",
                        "[vm a-4]: state is missing"),
                errors);
    }

    @Test
    void rejectsMissingListSectionKeysOutsideSectionsAndRepeatedKeys() {
        assertEquals(List.of("section [vm-list] is missing"), errors(VM));
        assertTrue(errors("revision = 1\n").contains("there are keys before the first section"));
        assertEquals(
                List.of("[vm-list]: revision is stated more than once"),
                errors("[vm-list]\nrevision = 1\nrevision = 2\n"));
        assertTrue(errors("[vm-list]\nrevision = 1\n" + VM + VM).toString().contains("more than once"));
    }

    /** Guards against substituted variables, with which a list would differ from node to node. */
    @Test
    void substitutesNothing() {
        String text = "[vm-list]\nrevision = 1\n" + VM.replace("erie-1", "${sys:user.name}");
        assertEquals(List.of("[vm a-1]: data-centre \"${sys:user.name}\" is not a name"), errors(text));
    }

    private static List<String> errors(String text) {
        return assertThrows(InvalidVmListException.class, () -> VmList.parse(text))
                .errors();
    }
}
