package org.coltsfootquay.decision.configuration;

import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.ZoneName;

/**
 * Availability zone.
 *
 * @param name name, unique in the configuration
 * @param region region the zone belongs to
 * @param state state given by operators
 */
public record Zone(ZoneName name, RegionName region, AdministrativeState state) {}
