package org.plantainshunt.cli;

/**
 * The cause of a result code and the recommended actions.
 *
 * @param why the possible causes of the code
 * @param caller what the caller should do
 * @param operator what the operator should do
 */
record Advice(String why, String caller, String operator) {}
