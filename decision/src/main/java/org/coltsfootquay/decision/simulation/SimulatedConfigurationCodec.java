package org.coltsfootquay.decision.simulation;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.configuration.BackendServer;
import org.coltsfootquay.decision.configuration.ConfigurationCodec;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.decision.configuration.AdministrativeState;
import org.coltsfootquay.decision.configuration.Service;
import org.coltsfootquay.decision.configuration.ServiceKind;
import org.coltsfootquay.decision.configuration.Zone;

/** Text encoding of the parts of a configuration that the controllers use. */
public final class SimulatedConfigurationCodec implements ConfigurationCodec {

    @Override
    public Either<List<String>, FleetConfiguration> decode(long version, byte[] content) {
        Map<ZoneName, Zone> zones = new LinkedHashMap<>();
        Map<ServiceName, Service> services = new LinkedHashMap<>();
        Map<ServerName, BackendServer> servers = new LinkedHashMap<>();
        for (String line : new String(content, StandardCharsets.UTF_8).split("\n", -1)) {
            String[] fields = line.split(" ", -1);
            if (fields[0].equals("zone")) {
                ZoneName name = new ZoneName(fields[1]);
                zones.put(name, new Zone(name, new RegionName(fields[2]), AdministrativeState.valueOf(fields[3])));
            } else if (fields[0].equals("server")) {
                ServerName name = new ServerName(fields[1]);
                ServiceName service = new ServiceName(fields[2]);
                services.put(service, new Service(service, ServiceKind.MODEL));
                servers.put(
                        name,
                        new BackendServer(
                                name,
                                service,
                                new ZoneName(fields[3]),
                                fields[4],
                                Boolean.parseBoolean(fields[5]),
                                AdministrativeState.valueOf(fields[6])));
            } else if (!line.isEmpty()) {
                return Either.left(List.of("unknown line type: " + line));
            }
        }
        return Either.right(new FleetConfiguration(version, zones, services, servers, Map.of(), Map.of()));
    }

    @Override
    public byte[] encode(FleetConfiguration configuration) {
        StringBuilder text = new StringBuilder();
        configuration
                .zones()
                .values()
                .forEach(zone -> text.append("zone ")
                        .append(zone.name())
                        .append(' ')
                        .append(zone.region())
                        .append(' ')
                        .append(zone.state())
                        .append('\n'));
        configuration
                .servers()
                .values()
                .forEach(server -> text.append("server ")
                        .append(server.name())
                        .append(' ')
                        .append(server.service())
                        .append(' ')
                        .append(server.zone())
                        .append(' ')
                        .append(server.address())
                        .append(' ')
                        .append(server.checksFencing())
                        .append(' ')
                        .append(server.state())
                        .append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
