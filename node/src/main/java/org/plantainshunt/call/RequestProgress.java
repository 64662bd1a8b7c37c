package org.plantainshunt.call;

/**
 * Whether calls that were made for a request have been answered, whose work is wasted if a later one is refused.
 *
 * <p>Confined to the decision thread.
 */
final class RequestProgress {
    private boolean callAnswered;

    /**
     * Creates the progress of a request that runs here.
     *
     * @param callAnswered whether the request was itself sent after another call of its chain had been answered
     */
    RequestProgress(boolean callAnswered) {
        this.callAnswered = callAnswered;
    }

    void callWasAnswered() {
        callAnswered = true;
    }

    boolean hasAnsweredCalls() {
        return callAnswered;
    }
}
