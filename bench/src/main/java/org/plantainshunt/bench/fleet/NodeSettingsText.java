package org.plantainshunt.bench.fleet;

import java.util.List;
import java.util.stream.Collectors;

import org.plantainshunt.standins.Endpoint;

/** Writes the settings file of a node. */
final class NodeSettingsText {
    private NodeSettingsText() {}

    static String of(FleetVm vm, Endpoint platform, List<Endpoint> seeds, String sharedSecret) {
        String peers = seeds.stream().map(Endpoint::toString).collect(Collectors.joining(", "));
        return """
                [node]
                name = %s
                data-centre = %s
                service = %s
                caller-address = %s
                outbound-address = %s
                inner-address = %s
                admin-address = %s

                [backend-server]
                address = %s

                [platform]
                address = %s

                [seeds]
                peers = %s

                [security]
                shared-secret = %s

                [trace]
                spans = off
                decisions = off
                """
                .formatted(
                        vm.name(),
                        vm.dataCentre(),
                        vm.service(),
                        vm.callerAddress(),
                        vm.outboundAddress(),
                        vm.innerAddress(),
                        vm.adminAddress(),
                        vm.backendServerAddressForNode(),
                        platform,
                        peers,
                        sharedSecret);
    }
}
