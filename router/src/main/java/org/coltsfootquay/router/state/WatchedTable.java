package org.coltsfootquay.router.state;

import java.util.Optional;

/** Tables of the store that every router watches. */
public enum WatchedTable {
    /** Settings written by the operator: the configuration and the zones to evacuate. */
    OPERATOR(0),
    /** Registrations of backend servers. */
    SERVERS(1),
    /** Registrations of routers. */
    ROUTERS(2);

    private final int number;

    WatchedTable(int number) {
        this.number = number;
    }

    /**
     * Returns the number of the table in messages between routers.
     *
     * @return number, from 0 without gaps in the order of the constants
     */
    public int number() {
        return number;
    }

    /**
     * Returns the table with a number.
     *
     * @param number number in a message
     * @return table, or empty if the number is unknown
     */
    public static Optional<WatchedTable> of(int number) {
        for (WatchedTable table : values()) {
            if (table.number == number) {
                return Optional.of(table);
            }
        }
        return Optional.empty();
    }
}
