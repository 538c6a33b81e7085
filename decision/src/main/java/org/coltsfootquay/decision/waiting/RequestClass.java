package org.coltsfootquay.decision.waiting;

/**
 * Requests that keep a common minimum of service under overload: one kind of request of one size.
 *
 * @param priority priority; 0 is the most urgent
 * @param route name of the route
 * @param magnitude size on a logarithmic scale
 */
public record RequestClass(int priority, String route, int magnitude) {

    /** Binary digits of the size that one magnitude spans, that is a factor of four. */
    private static final int BITS_PER_MAGNITUDE = 2;

    /**
     * Returns the class of a request.
     *
     * @param priority priority; 0 is the most urgent
     * @param route name of the route
     * @param tokens size of the request
     * @return class
     */
    public static RequestClass of(int priority, String route, double tokens) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros((long) Math.max(0, tokens));
        return new RequestClass(priority, route, bits / BITS_PER_MAGNITUDE);
    }
}
