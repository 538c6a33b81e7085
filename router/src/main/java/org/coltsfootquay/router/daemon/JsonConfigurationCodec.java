package org.coltsfootquay.router.daemon;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.coltsfootquay.decision.configuration.ConfigurationCodec;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.router.settings.FleetConfigurationReader;
import org.coltsfootquay.router.settings.FleetConfigurationWriter;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsProblem;

/** Stored form of configurations: JSON, with comments allowed in what operators submit. */
public final class JsonConfigurationCodec implements ConfigurationCodec {

    /** Creates a codec. */
    public JsonConfigurationCodec() {
        // It has no state.
    }

    @Override
    public Either<List<String>, FleetConfiguration> decode(long version, byte[] content) {
        try {
            FleetConfiguration read =
                    FleetConfigurationReader.read("configuration", new String(content, StandardCharsets.UTF_8));
            return Either.right(withVersion(read, version));
        } catch (SettingsException e) {
            return Either.left(
                    e.problems().stream().map(SettingsProblem::toString).toList());
        }
    }

    @Override
    public byte[] encode(FleetConfiguration configuration) {
        return FleetConfigurationWriter.write(withVersion(configuration, 0)).getBytes(StandardCharsets.UTF_8);
    }

    private static FleetConfiguration withVersion(FleetConfiguration configuration, long version) {
        return new FleetConfiguration(
                version,
                configuration.zones(),
                configuration.services(),
                configuration.servers(),
                configuration.classes(),
                configuration.workspaces());
    }
}
