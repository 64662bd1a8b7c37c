/**
 * The admission queue of a serving node, its concurrency limit and admission level, and the early refusal of kinds of
 * request that fail often.
 */
package org.plantainshunt.admission;
