package org.plantainshunt.call;

import org.plantainshunt.result.ResultCode;

/** Makes a span for each hop of a call. Safe for use by any thread. */
@FunctionalInterface
public interface HopTracer {
    /** Begins a span below the given W3C trace parent, which may be empty. */
    Hop begin(String role, String service, String kind, String traceParent);

    /** Returns a tracer that writes no spans and passes the trace parent on. */
    static HopTracer off() {
        return (role, service, kind, traceParent) -> new Hop() {
            @Override
            public String traceParent() {
                return traceParent;
            }

            @Override
            public void end(String requestId, ResultCode code) {}
        };
    }

    /** A span that has begun. */
    interface Hop {
        /** Returns the W3C trace parent for the next hop, or an empty text. */
        String traceParent();

        /** Ends the span with the request's id and its result; further calls do nothing. */
        void end(String requestId, ResultCode code);
    }
}
