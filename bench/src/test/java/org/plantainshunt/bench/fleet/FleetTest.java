package org.plantainshunt.bench.fleet;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.plantainshunt.standins.HeaderNames;
import org.plantainshunt.standins.RequestRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetTest {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

    @TempDir
    Path directory;

    /** Guards against losing the records of a killed backend server, on which every failure test relies. */
    @Test
    void keepsTheRecordOfAKilledBackendServer() throws Exception {
        FleetDocument document;
        try (var resource = FleetTest.class.getResourceAsStream("/two-services.ini")) {
            document = FleetDocument.read(resource.readAllBytes());
        }
        FleetPlan plan = FleetPlan.small(document).withNodes(false).withVmsPerService(1);
        FleetVm vm;
        try (Fleet fleet = Fleet.start(plan, directory)) {
            fleet.awaitReady(START_TIMEOUT);
            vm = fleet.vms("archive").get(0);
            assertEquals(200, send(vm, "w1"));
            vm.killBackendServer();
            assertFalse(vm.backendServerAlive());
            vm.startBackendServer();
            fleet.awaitReady(START_TIMEOUT);
            vm.freezeBackendServer();
            vm.resumeBackendServer();
            assertEquals(200, send(vm, "w2"));
            List<RequestRecord> records = fleet.records();
            assertEquals(
                    List.of("w1", "w2"),
                    records.stream().map(RequestRecord::workId).toList());
            assertTrue(records.stream().allMatch(request -> request.state().equals("answered")), records.toString());
        }
        assertFalse(vm.backendServerAlive());
    }

    private static int send(FleetVm vm, String workId) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.backendServerAddress() + "/lookup"))
                .header(HeaderNames.WORK_ID, workId)
                .build();
        return HttpClient.newHttpClient()
                .send(request, BodyHandlers.discarding())
                .statusCode();
    }
}
