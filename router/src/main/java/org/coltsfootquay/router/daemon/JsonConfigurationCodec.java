package org.coltsfootquay.router.daemon;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import org.coltsfootquay.decision.configuration.ConfigurationCodec;
import org.coltsfootquay.decision.configuration.FleetConfiguration;
import org.coltsfootquay.router.settings.FleetConfigurationReader;
import org.coltsfootquay.router.settings.FleetConfigurationWriter;
import org.coltsfootquay.router.settings.GzipTextUtils;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsProblem;
import org.coltsfootquay.settings.SettingsReader;

/** Codec that stores configurations as gzip-compressed JSON and also decodes plain JSON with comments, as submitted. */
public final class JsonConfigurationCodec implements ConfigurationCodec {

    /** Creates a codec. */
    public JsonConfigurationCodec() {
        // The codec has no state.
    }

    @Override
    public Either<List<String>, FleetConfiguration> decode(long version, byte[] content) {
        try {
            String text = GzipTextUtils.decompress(content, SettingsReader.MAX_BYTES);
            return Either.right(withVersion(FleetConfigurationReader.read("configuration", text), version));
        } catch (IOException e) {
            return Either.left(
                    List.of("$: the content is corrupt (" + e.getMessage() + "); submit the configuration again"));
        } catch (SettingsException e) {
            return Either.left(
                    e.problems().stream().map(SettingsProblem::toString).toList());
        }
    }

    @Override
    public byte[] encode(FleetConfiguration configuration) {
        return GzipTextUtils.compress(FleetConfigurationWriter.write(withVersion(configuration, 0)));
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
