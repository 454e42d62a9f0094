// Package avoider keeps which targets have told this process, in their answers, that they
// want no further requests from it. The list of targets tells later, and not while the
// store is away.
package avoider
