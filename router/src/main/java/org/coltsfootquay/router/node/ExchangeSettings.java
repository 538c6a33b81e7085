package org.coltsfootquay.router.node;

import org.coltsfootquay.settings.SettingsObject;

/**
 * Settings of the exchange of state with other routers.
 *
 * @param relayRouters number of routers from which updates go through relays; 0 for never
 * @param watchRouters number of routers from which some watch the store for the others; 0 for never
 */
public record ExchangeSettings(int relayRouters, int watchRouters) {

    /** Every router sends its updates to every other, and watches the store. */
    public static final ExchangeSettings DEFAULT = new ExchangeSettings(0, 0);

    /** Maximum of the numbers of routers. */
    private static final int MAX_ROUTERS = 100_000;

    /** Reads the settings; errors are recorded in the settings object. */
    static ExchangeSettings read(SettingsObject exchange) {
        return new ExchangeSettings((int) exchange.number("relayRouters", 0, MAX_ROUTERS, DEFAULT.relayRouters), (int)
                exchange.number("watchRouters", 0, MAX_ROUTERS, DEFAULT.watchRouters));
    }
}
