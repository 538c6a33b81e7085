package org.coltsfootquay.decision.selection;

/** Choice of the servers that are compared for a request, beside those that have its shared prompt parts. */
public interface CandidateSampler {

    /** Compares all servers. */
    CandidateSampler ALL = candidates -> true;

    /**
     * Decides on one server.
     *
     * @param candidates number of servers to choose from
     * @return true if the server is compared
     */
    boolean includes(int candidates);
}
